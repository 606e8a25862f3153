package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.io.PrintWriter;
import java.util.function.Function;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.TeamId;
import picocli.CommandLine.Mixin;

/** Changes one thing in a team's configuration and waits until the change is in force. */
final class EditMixin {

    @Mixin
    private PlatformMixin platform;

    @Mixin
    private WaitMixin wait;

    /** Makes a change; {@code onAccepted} runs as soon as it is accepted, before the wait. */
    Either<CtlFailure, Long> edit(
            TeamId team,
            Function<TeamConfiguration, Either<CtlFailure, TeamConfiguration>> change,
            PrintWriter messages,
            Runnable onAccepted) {
        return platform.with(client -> new TeamRepository(client, new TeamTrees())
                .edit(team, change)
                .flatMap(state -> {
                    messages.println("team " + team + ": accepted as version " + state.version());
                    onAccepted.run();
                    return wait.await(client, state.version(), messages);
                }));
    }
}
