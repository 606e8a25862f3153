package org.hyssopswitch.app;

import org.hyssopswitch.app.demo.DemoCommand;
import org.hyssopswitch.core.failure.HyssopException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The {@code hyssopswitch} program. */
@Command(
        name = "hyssopswitch",
        description = "A database proxy with session consistency.",
        mixinStandardHelpOptions = true,
        versionProvider = ProgramVersion.class,
        subcommands = {RunCommand.class, DemoCommand.class},
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:success",
            "1:the VM could not start, or a request was cut at its end",
            "2:the command line or the settings are wrong"
        })
public final class HyssopswitchMain implements Runnable {

    @Spec
    private CommandSpec spec;

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(commandLine().execute(arguments));
    }

    /** The command line of the program. */
    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new HyssopswitchMain());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (!(e instanceof HyssopException)) {
                throw e;
            }
            command.getErr().println(e.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        });
        return line;
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }
}
