package org.hyssopswitch.ctl;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** The operators' command line, {@code hyssopctl}. */
@Command(
        name = "hyssopctl",
        description = "Operates hyssopswitch by declarations that are kept in version control.",
        mixinStandardHelpOptions = true,
        versionProvider = CtlMain.Version.class,
        scope = CommandLine.ScopeType.INHERIT,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:mistakes in declarations or arguments",
            "2:wrong usage",
            "3:another operator changed the subtree",
            "4:the platform refused or did not answer",
            "5:accepted, but not in force everywhere yet",
            "6:outcome unknown"
        },
        subcommands = {
            ValidateCommand.class,
            DiffCommand.class,
            ApplyCommand.class,
            GetCommand.class,
            StatusCommand.class,
            KeyCommand.class,
            AccountCommand.class,
            DrainCommand.class
        })
public final class CtlMain {

    private CtlMain() {}

    /**
     * Runs a command and ends the process with its exit code.
     *
     * @param args the arguments
     */
    public static void main(String[] args) {
        System.exit(run(
                new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                new PrintWriter(System.err, true, StandardCharsets.UTF_8),
                args));
    }

    /**
     * Runs a command.
     *
     * @param out takes results
     * @param err takes messages and errors
     * @param args the arguments
     * @return the exit code
     */
    public static int run(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new CtlMain()).setOut(out).setErr(err).execute(args);
    }

    /** The version of the build. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = CtlMain.class.getPackage().getImplementationVersion();
            return new String[] {"hyssopctl " + (version == null ? "development" : version)};
        }
    }
}
