package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.platform.PlatformClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Makes declarations the configuration of their teams.
 *
 * <p>A subtree that has changed since the declarations were made is not overwritten: the record beside the declarations
 * says which version they were made from.
 */
@Command(name = "apply", description = "Applies declarations, team by team, and waits until they are in force.")
final class ApplyCommand extends AbstractCommand {

    @Mixin
    private DeclarationMixin declarations;

    @Mixin
    private PlatformMixin platform;

    @Mixin
    private WaitMixin wait;

    @Option(
            names = "--base",
            paramLabel = "VERSION",
            description = "Version that the declarations were made from. Default: the record beside them.")
    private Long base;

    private final TeamTrees trees = new TeamTrees();

    @Override
    Either<CtlFailure, ?> run() {
        return declarations.read().flatMap(teams -> platform.with(client -> applyAll(client, teams)));
    }

    private Either<CtlFailure, Long> applyAll(PlatformClient client, List<TeamConfiguration> teams) {
        TeamRepository repository = new TeamRepository(client, trees);
        long highest = 0;
        for (TeamConfiguration declared : teams) {
            Either<CtlFailure, Long> version = apply(repository, declared);
            if (version.isLeft()) {
                return version;
            }
            highest = Math.max(highest, version.get());
        }
        return wait.await(client, highest, err());
    }

    private Either<CtlFailure, Long> apply(TeamRepository repository, TeamConfiguration declared) {
        return repository.read(declared.team()).flatMap(state -> {
            if (repository.isSame(state, declared)) {
                out().println("team " + declared.team() + ": unchanged, version " + state.version());
                return record(declared, state.version());
            }
            return checkBase(state)
                    .flatMap(checked -> repository.replace(checked, declared))
                    .flatMap(accepted -> {
                        out().println("team " + declared.team() + ": accepted as version " + accepted.version());
                        return record(declared, accepted.version());
                    });
        });
    }

    private Either<CtlFailure, TeamRepository.TeamState> checkBase(TeamRepository.TeamState state) {
        TeamId team = state.team();
        Optional<TeamTrees.Base> recorded = trees.readBase(declarations.directoryOf(team));
        long expected =
                base != null ? base : recorded.map(TeamTrees.Base::version).orElse(0L);
        if (expected == state.version()) {
            return Either.right(state);
        }
        List<Difference> change = recorded.filter(r -> r.version() == expected)
                .map(r -> TreeDiff.compare(r.value(), trees.tree(state.configuration())))
                .orElse(List.of());
        return Either.left(new CtlFailure.Conflict(team, expected, state.version(), change));
    }

    private Either<CtlFailure, Long> record(TeamConfiguration declared, long version) {
        Path directory = declarations.directoryOf(declared.team());
        return trees.writeBase(directory, version, declared)
                .<CtlFailure>toEither(new CtlFailure.WrongArgument(
                        "DIR", directory.toString(), "cannot be written; version " + version + " is accepted"))
                .map(file -> version);
    }
}
