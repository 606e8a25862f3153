package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.EndpointId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Marks an endpoint as leaving, so that it gets no new work. */
@Command(name = "drain", description = "Marks an endpoint as leaving, so that it gets no new work.")
final class DrainCommand extends AbstractCommand {

    @Mixin
    private EditMixin edit;

    @Parameters(paramLabel = "ENDPOINT", description = "The endpoint.")
    private String endpoint;

    @Option(names = "--undo", description = "Gives the endpoint work again.")
    private boolean undo;

    @Override
    Either<CtlFailure, ?> run() {
        return TeamRepository.teamOf("ENDPOINT", endpoint)
                .flatMap(team -> edit.edit(team, this::change, err(), () -> {}));
    }

    private Either<CtlFailure, TeamConfiguration> change(TeamConfiguration team) {
        try {
            return TeamEdits.setLeaving(team, new EndpointId(endpoint), !undo);
        } catch (IllegalArgumentException e) {
            return Either.left(new CtlFailure.WrongArgument("ENDPOINT", endpoint, "is refused: " + e.getMessage()));
        }
    }
}
