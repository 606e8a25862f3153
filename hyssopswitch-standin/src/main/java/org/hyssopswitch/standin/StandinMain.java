package org.hyssopswitch.standin;

import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.hyssopswitch.core.failure.HyssopException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program {@code hyssop-standin}. */
@Command(
        name = "hyssop-standin",
        mixinStandardHelpOptions = true,
        versionProvider = StandinMain.StandinVersion.class,
        description = "Runs a stand-in of a database group or of the platform until it is terminated.",
        subcommands = {GroupCommand.class, PlatformCommand.class})
public final class StandinMain {

    private static final String LOG_SETTING = "log4j2.configurationFile";

    /** Held strongly, because the level of a logger that is collected is lost. */
    private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

    private StandinMain() {}

    /**
     * Runs the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        if (System.getProperty(LOG_SETTING) == null) {
            System.setProperty(LOG_SETTING, "classpath:log4j2-standin.xml");
        }
        GRIZZLY.setLevel(Level.WARNING);
        System.exit(execute(args));
    }

    static int execute(String... args) {
        CommandLine command = new CommandLine(new StandinMain());
        try {
            YamlDefaults.in(args).ifPresent(command::setDefaultValueProvider);
        } catch (HyssopException e) {
            command.getErr().println(e.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
        return command.execute(args);
    }

    /** Reads the version from the jar. */
    static final class StandinVersion implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Optional.ofNullable(StandinMain.class.getPackage().getImplementationVersion())
                    .orElse("development");
            return new String[] {"hyssop-standin " + version};
        }
    }
}
