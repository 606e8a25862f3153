package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Runs a command and turns its failure into lines on standard error and an exit code. */
abstract class AbstractCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Override
    public final Integer call() {
        Either<CtlFailure, ?> result = run();
        if (result.isRight()) {
            return 0;
        }
        CtlFailure failure = result.getLeft();
        failure.describe().lines().forEach(line -> err().println("error: " + line));
        return failure.exitCode();
    }

    /** Does the work. */
    abstract Either<CtlFailure, ?> run();

    /** Results for scripts. */
    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Messages for people. */
    final PrintWriter err() {
        return spec.commandLine().getErr();
    }
}
