package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.nio.file.Path;
import org.hyssopswitch.settings.declaration.DeclarationReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks declarations without calling the platform. */
@Command(name = "validate", description = "Checks declarations and reports all mistakes.")
final class ValidateCommand extends AbstractCommand {

    @Parameters(paramLabel = "DIR", description = "Directory that has teams/<team>/*.yaml.")
    private Path directory;

    @Override
    Either<CtlFailure, ?> run() {
        return new DeclarationReader()
                .read(directory)
                .<CtlFailure>mapLeft(CtlFailure.Invalid::new)
                .peek(teams -> teams.values().forEach(t -> out().println("team " + t.team() + ": "
                        + t.databases().size() + " databases, "
                        + t.accounts().size() + " accounts, " + t.routes().size() + " routes")));
    }
}
