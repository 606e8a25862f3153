package org.hyssopswitch.app;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.proxy.vm.VmLauncher;
import org.hyssopswitch.proxy.vm.VmRuntime;
import org.hyssopswitch.settings.VmSettings;
import org.hyssopswitch.settings.VmSettingsReader;
import org.hyssopswitch.settings.binding.SettingsFailure;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs one VM until the process is told to end. */
@Command(
        name = "run",
        description = "Runs one VM until SIGTERM, which ends it without cutting a request.",
        mixinStandardHelpOptions = true,
        versionProvider = ProgramVersion.class)
final class RunCommand implements Callable<Integer> {

    private static final Logger LOG = LogManager.getLogger(RunCommand.class);

    /** Grizzly logs through the JDK; kept here because the JDK holds its loggers weakly. */
    private static final java.util.logging.Logger GRIZZLY = java.util.logging.Logger.getLogger("org.glassfish.grizzly");

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--settings",
            required = true,
            paramLabel = "FILE",
            description = "The settings of the VM, in YAML.")
    private Path settings;

    @Override
    public Integer call() throws InterruptedException {
        GRIZZLY.setLevel(Level.WARNING);
        Either<SettingsFailure, VmSettings> read = new VmSettingsReader().read(settings);
        if (read.isLeft()) {
            read.getLeft().mistakes().forEach(m -> spec.commandLine().getErr().println(m.describe()));
            return ExitCode.USAGE;
        }
        VmRuntime vm = VmLauncher.start(read.get(), System.currentTimeMillis());
        spec.commandLine().getOut().println("callers=" + vm.callerPort() + " operations=" + vm.operationsPort());
        spec.commandLine().getOut().flush();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutdown(vm), "shutdown"));
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    /** The runtime halts with status 0 here only when nothing was cut; a signal's own status is not an answer. */
    private static void shutdown(VmRuntime vm) {
        CompletableFuture<Boolean> done = vm.shutdown().toCompletableFuture();
        boolean complete = done.join();
        LOG.info("event=vm_stopped complete={}", complete);
        LogManager.shutdown();
        Runtime.getRuntime().halt(complete ? ExitCode.OK : ExitCode.SOFTWARE);
    }
}
