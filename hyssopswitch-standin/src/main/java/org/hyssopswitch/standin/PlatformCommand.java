package org.hyssopswitch.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.hyssopswitch.standin.control.ControlServer;
import org.hyssopswitch.standin.control.ControlServers;
import org.hyssopswitch.standin.platform.PlatformCredential;
import org.hyssopswitch.standin.platform.PlatformServer;
import org.hyssopswitch.standin.platform.PlatformSettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs the platform. */
@Command(name = "platform", mixinStandardHelpOptions = true, description = "Runs the platform.")
final class PlatformCommand implements Callable<Integer> {

    private static final int CREDENTIAL_PARTS = 3;

    @Spec
    private CommandSpec spec;

    @Option(names = YamlDefaults.SETTINGS, paramLabel = "FILE", description = "YAML file with keys as the options")
    @SuppressWarnings("UnusedVariable") // read by YamlDefaults before the command line is parsed
    private String settings;

    @Option(names = "--port", defaultValue = "0", description = "port of the object API")
    private int port;

    @Option(names = "--control-port", defaultValue = "0", description = "port of the control listener")
    private int controlPort;

    @Option(
            names = "--credentials",
            split = ",",
            required = true,
            paramLabel = "KIND:NAME:TOKEN",
            description = "credentials; KIND is admin, vm or team")
    private List<String> credentials = new ArrayList<>();

    @Option(names = "--calls-per-second", defaultValue = "0", description = "bound on calls; 0 for none")
    private int callsPerSecond;

    @Option(names = "--list-lag-millis", defaultValue = "0", description = "lag of the list of VMs")
    private long listLagMillis;

    @Override
    public Integer call() {
        try (RunningStandin running = start()) {
            spec.commandLine().getOut().println(running.line());
            spec.commandLine().getOut().flush();
            return running.awaitTermination();
        }
    }

    RunningStandin start() {
        PlatformServer platform = new PlatformServer(platformSettings());
        platform.start();
        ControlServer control = ControlServers.of(platform, controlPort);
        control.start();
        String line = "event=ready platform=" + platform.port() + " control=" + control.port();
        return new RunningStandin(line, () -> {
            control.close();
            platform.close();
        });
    }

    private PlatformSettings platformSettings() {
        try {
            List<PlatformCredential> parsed =
                    credentials.stream().map(PlatformCommand::credential).toList();
            return new PlatformSettings(port, parsed, callsPerSecond, listLagMillis);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }

    private static PlatformCredential credential(String text) {
        String[] parts = text.split(":", CREDENTIAL_PARTS);
        if (parts.length < CREDENTIAL_PARTS) {
            throw new IllegalArgumentException(
                    "a credential must be KIND:NAME:TOKEN, but has " + parts.length + " parts");
        }
        PlatformCredential.Kind kind = PlatformCredential.Kind.valueOf(parts[0].toUpperCase(Locale.ROOT));
        Optional<String> team = kind == PlatformCredential.Kind.TEAM ? Optional.of(parts[1]) : Optional.empty();
        return new PlatformCredential(parts[1], parts[2], kind, team);
    }
}
