package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints a team's configuration as YAML or writes it as declarations. */
@Command(name = "get", description = "Prints the configuration of a team as YAML.")
final class GetCommand extends AbstractCommand {

    private static final String FILE = "team.yaml";

    @Mixin
    private PlatformMixin platform;

    @Parameters(paramLabel = "TEAM", description = "The team.")
    private String team;

    @Option(
            names = "--into",
            paramLabel = "DIR",
            description = "Writes teams/TEAM/team.yaml and the record of its version into this directory.")
    private Path into;

    private final TeamTrees trees = new TeamTrees();

    @Override
    Either<CtlFailure, ?> run() {
        return TeamRepository.team(team)
                .flatMap(id -> platform.with(client -> new TeamRepository(client, trees).read(id)))
                .flatMap(this::show);
    }

    private Either<CtlFailure, Integer> show(TeamRepository.TeamState state) {
        if (state.configuration().isEmpty()) {
            return Either.left(new CtlFailure.WrongArgument("TEAM", team, "has no configuration"));
        }
        TeamConfiguration configuration = state.configuration().get();
        if (into == null) {
            out().print(trees.yaml(configuration));
            err().println("version " + state.version());
            return Either.right(0);
        }
        return write(into.resolve("teams").resolve(team), state.version(), configuration);
    }

    private Either<CtlFailure, Integer> write(Path directory, long version, TeamConfiguration configuration) {
        return Try.of(() -> {
                    requireNoOtherFiles(directory);
                    Files.createDirectories(directory);
                    Files.writeString(directory.resolve(FILE), trees.yaml(configuration));
                    return 0;
                })
                .flatMap(done -> trees.writeBase(directory, version, configuration))
                .toEither()
                .<CtlFailure>mapLeft(e ->
                        new CtlFailure.WrongArgument("--into", directory.toString(), "is refused: " + e.getMessage()))
                .map(file -> {
                    err().println("wrote version " + version + " to " + directory.resolve(FILE));
                    return 0;
                });
    }

    /** Declarations spread over other files would repeat what is written. */
    private static void requireNoOtherFiles(Path directory) throws IOException {
        if (!Files.isDirectory(directory)) {
            return;
        }
        try (Stream<Path> files = Files.list(directory)) {
            boolean others = files.map(f -> String.valueOf(f.getFileName()))
                    .anyMatch(n -> n.endsWith(".yaml") && !n.equals(FILE));
            if (others) {
                throw new IOException("it has declarations in other files than " + FILE);
            }
        }
    }
}
