package org.hyssopswitch.load;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.load.profile.LoadProfile;
import org.hyssopswitch.load.report.LoadReport;
import org.hyssopswitch.load.report.ReportUtils;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The program {@code hyssop-load}. Exits with 0 when the audit is clean, 1 on a breach and 2 on wrong options. */
@Command(
        name = "hyssop-load",
        mixinStandardHelpOptions = true,
        versionProvider = LoadMain.LoadVersion.class,
        description = "Runs an open-loop load against VMs and audits the answers.")
public final class LoadMain implements Callable<Integer> {

    private static final int BREACH = 1;

    @Spec
    private CommandSpec spec;

    @Option(names = "--vms", split = ",", required = true, paramLabel = "HOST:PORT", description = "VM addresses")
    private List<String> vms = new ArrayList<>();

    @Option(names = "--profile", defaultValue = "maré-alta", description = "maré-alta or pellets")
    private String profile;

    @Option(names = "--seed", defaultValue = "1", description = "seed of arrivals, operations and moves")
    private long seed;

    @Option(names = "--rate", defaultValue = "0", description = "operations per second over all client accounts")
    private double rate;

    @Option(names = "--duration", defaultValue = "30", description = "seconds for which operations arrive")
    private double durationSeconds;

    @Option(names = "--keys", paramLabel = "FILE", description = "YAML file of client account and key")
    private Optional<Path> keys = Optional.empty();

    @Option(names = "--out", paramLabel = "DIR", description = "writes report.txt, report.csv and latency.png there")
    private Optional<Path> out = Optional.empty();

    private LoadMain() {}

    /**
     * Runs the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(execute(args));
    }

    static int execute(String... args) {
        return new CommandLine(new LoadMain()).execute(args);
    }

    @Override
    public Integer call() {
        PrintWriter err = spec.commandLine().getErr();
        LoadReport report = new LoadRunner(options(), p -> err.println(progress(p))).run();
        spec.commandLine().getOut().print(ReportUtils.text(report));
        spec.commandLine().getOut().flush();
        out.ifPresent(d -> ReportUtils.write(report, d));
        return report.clean() ? CommandLine.ExitCode.OK : BREACH;
    }

    private static String progress(LoadProgress p) {
        return "event=progress elapsed_ms=" + p.elapsedMillis() + " arrived=" + p.arrived() + " ended=" + p.ended()
                + " breaches=" + p.breaches();
    }

    private LoadOptions options() {
        try {
            LoadProfile included = LoadProfile.included(profile);
            LoadProfile scaled = rate > 0 ? included.withDemandTimes(rate / included.demandPerSecond()) : included;
            return new LoadOptions(
                    scaled,
                    vms.stream().map(LoadMain::target).toList(),
                    logins(),
                    seed,
                    (long) (durationSeconds * 1_000),
                    LoadOptions.DEFAULT_ANSWER_TIMEOUT_MILLIS);
        } catch (IllegalArgumentException | HyssopException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }

    private Map<String, LoadOptions.Login> logins() {
        Map<String, LoadOptions.Login> logins = new HashMap<>();
        keys.ifPresent(file -> read(file).forEach((a, key) -> logins.put(a, new LoadOptions.Login(a, key))));
        return logins;
    }

    private static Map<String, String> read(Path file) {
        try {
            return new ObjectMapper(new YAMLFactory()).readValue(file.toFile(), new TypeReference<>() {});
        } catch (IOException e) {
            throw new HyssopException(file + ": the keys cannot be read", e);
        }
    }

    private static LoadOptions.VmTarget target(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new LoadOptions.VmTarget(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new HyssopException("a VM address must be HOST:PORT, but is " + text, e);
        }
    }

    /** Reads the version from the jar. */
    static final class LoadVersion implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Optional.ofNullable(LoadMain.class.getPackage().getImplementationVersion())
                    .orElse("development");
            return new String[] {"hyssop-load " + version};
        }
    }
}
