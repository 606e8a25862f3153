package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows what applying declarations would change. */
@Command(name = "diff", description = "Shows what apply would change.")
final class DiffCommand extends AbstractCommand {

    @Mixin
    private DeclarationMixin declarations;

    @Mixin
    private PlatformMixin platform;

    @Override
    Either<CtlFailure, ?> run() {
        return declarations
                .read()
                .flatMap(teams -> platform.with(client -> {
                    TeamTrees trees = new TeamTrees();
                    TeamRepository repository = new TeamRepository(client, trees);
                    return Either.sequenceRight(
                            io.vavr.collection.List.ofAll(teams).map(t -> diff(repository, trees, t)));
                }));
    }

    private Either<CtlFailure, Integer> diff(TeamRepository repository, TeamTrees trees, TeamConfiguration declared) {
        return repository.read(declared.team()).map(state -> {
            List<Difference> differences = trees.compare(state.configuration(), Optional.of(declared));
            out().println("team " + declared.team() + ", version " + state.version() + ": " + differences.size()
                    + " differences");
            differences.forEach(d -> out().println("  " + d.describe()));
            return differences.size();
        });
    }
}
