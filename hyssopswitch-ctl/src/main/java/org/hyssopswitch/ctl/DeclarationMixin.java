package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.settings.declaration.DeclarationReader;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The declarations that a command works on. */
final class DeclarationMixin {

    @Parameters(paramLabel = "DIR", description = "Directory that has teams/<team>/*.yaml.")
    private Path directory;

    @Option(names = "--team", paramLabel = "TEAM", description = "Only this team. Default: all teams of the directory.")
    private String team;

    /** Reads the declarations of the teams that were asked for. */
    Either<CtlFailure, List<TeamConfiguration>> read() {
        return new DeclarationReader()
                .read(directory)
                .<CtlFailure>mapLeft(CtlFailure.Invalid::new)
                .flatMap(teams -> {
                    List<TeamConfiguration> chosen = teams.values().stream()
                            .filter(t -> team == null || t.team().value().equals(team))
                            .toList();
                    return chosen.isEmpty()
                            ? Either.left(
                                    new CtlFailure.WrongArgument("--team", team, "has no directory in " + directory))
                            : Either.right(chosen);
                });
    }

    Path directoryOf(TeamId id) {
        return directory.resolve("teams").resolve(id.value());
    }
}
