package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.platform.PlatformClient;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;

/**
 * The subtrees on the platform. Every change is one conditional update; a lost answer is resolved by reading the object
 * again, never by repeating the update.
 */
final class TeamRepository {

    private static final String PREFIX = "config/teams/";
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final int READS_AFTER_LOST_ANSWER = 4;
    private static final int EDITS_AFTER_CONFLICT = 8;
    private static final long READ_WAIT_MILLIS = 500;

    private final PlatformClient platform;
    private final TeamTrees trees;
    private final TeamConfigurationCodec codec = new TeamConfigurationCodec();

    TeamRepository(PlatformClient platform, TeamTrees trees) {
        this.platform = platform;
        this.trees = trees;
    }

    Either<CtlFailure, TeamState> read(TeamId team) {
        return await(platform.read(PREFIX + team)).flatMap(object -> state(team, object));
    }

    /** Replaces a subtree that still has the version of a state. */
    Either<CtlFailure, TeamState> replace(TeamState state, TeamConfiguration next) {
        byte[] value = codec.encode(next);
        if (value.length > MAX_VALUE_BYTES) {
            return Either.left(
                    new CtlFailure.WrongArgument("team", state.team().value(), "must have at most 1 MB when encoded"));
        }
        Either<PlatformFailure, StoredObject> result = platform.update(PREFIX + state.team(), state.version(), value)
                .toCompletableFuture()
                .join();
        if (result.isRight()) {
            return state(state.team(), result.get());
        }
        PlatformFailure failure = result.getLeft();
        if (failure instanceof PlatformFailure.NoAnswer) {
            return resolve(state, value, failure);
        }
        return failure instanceof PlatformFailure.VersionConflict
                ? read(state.team()).flatMap(current -> Either.left(conflict(state, current)))
                : Either.left(new CtlFailure.PlatformFailed(failure));
    }

    /** Changes one thing in a subtree; when another operator was faster, the change is made to their version. */
    Either<CtlFailure, TeamState> edit(
            TeamId team, Function<TeamConfiguration, Either<CtlFailure, TeamConfiguration>> change) {
        Either<CtlFailure, TeamState> result = editOnce(team, change);
        for (int i = 0; i < EDITS_AFTER_CONFLICT && isConflict(result); i++) {
            result = editOnce(team, change);
        }
        return result;
    }

    private Either<CtlFailure, TeamState> editOnce(
            TeamId team, Function<TeamConfiguration, Either<CtlFailure, TeamConfiguration>> change) {
        return read(team).flatMap(state -> {
            TeamConfiguration current = state.configuration().orElse(empty(team));
            return change.apply(current)
                    .flatMap(next -> isSame(state, next) ? Either.right(state) : replace(state, next));
        });
    }

    boolean isSame(TeamState state, TeamConfiguration next) {
        return state.configuration()
                .map(c -> Arrays.equals(codec.encode(c), codec.encode(next)))
                .orElse(false);
    }

    CtlFailure conflict(TeamState expected, TeamState current) {
        List<Difference> change = trees.compare(expected.configuration(), current.configuration());
        return new CtlFailure.Conflict(expected.team(), expected.version(), current.version(), change);
    }

    private static TeamConfiguration empty(TeamId team) {
        return new TeamConfiguration(team, 0, List.of(), List.of(), List.of());
    }

    private static boolean isConflict(Either<CtlFailure, TeamState> result) {
        return result.isLeft() && result.getLeft() instanceof CtlFailure.Conflict;
    }

    /** Reads the object until it shows whether the update took effect. */
    private Either<CtlFailure, TeamState> resolve(TeamState state, byte[] value, PlatformFailure failure) {
        String path = PREFIX + state.team();
        for (int i = 0; i < READS_AFTER_LOST_ANSWER; i++) {
            Either<PlatformFailure, StoredObject> read = platform.watch(path, state.version(), READ_WAIT_MILLIS)
                    .toCompletableFuture()
                    .join();
            if (read.isRight() && read.get().version() > state.version()) {
                return Arrays.equals(read.get().value(), value)
                        ? state(state.team(), read.get())
                        : state(state.team(), read.get()).flatMap(c -> Either.left(conflict(state, c)));
            }
        }
        return Either.left(new CtlFailure.OutcomeUnknown(state.team(), state.version(), failure.describe()));
    }

    private Either<CtlFailure, TeamState> state(TeamId team, StoredObject object) {
        if (object.value().length == 0) {
            return Either.right(new TeamState(team, object.version(), Optional.empty()));
        }
        return codec.decode(team, object.version(), object.value())
                .<CtlFailure>mapLeft(CtlFailure.Invalid::new)
                .map(c -> new TeamState(team, object.version(), Optional.of(c)));
    }

    private static <T> Either<CtlFailure, T> await(CompletionStage<Either<PlatformFailure, T>> stage) {
        return stage.toCompletableFuture().join().mapLeft(CtlFailure.PlatformFailed::new);
    }

    /** Reads the name of a team. */
    static Either<CtlFailure, TeamId> team(String name) {
        try {
            return Either.right(new TeamId(name));
        } catch (IllegalArgumentException e) {
            return Either.left(new CtlFailure.WrongArgument("team", name, String.valueOf(e.getMessage())));
        }
    }

    /** The team that a name belongs to: what stands before the first dot. */
    static Either<CtlFailure, TeamId> teamOf(String kind, String name) {
        int dot = name.indexOf('.');
        return dot < 0
                ? Either.left(
                        new CtlFailure.WrongArgument(kind, name, "must begin with the name of its team and a dot"))
                : team(name.substring(0, dot));
    }

    /** A subtree of a version; nothing when no one has written it. */
    record TeamState(TeamId team, long version, Optional<TeamConfiguration> configuration) {}
}
