package org.hyssopswitch.core.failover;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.position.EndpointStatus;

/**
 * Outcome of a control call, with the endpoint's status if the endpoint responded.
 *
 * @param result the result of the call
 * @param status the endpoint's status after the call; empty if the call failed
 */
record ControlOutcome(ControlResult result, Optional<EndpointStatus> status) {

    static final ControlOutcome FAILED = new ControlOutcome(ControlResult.FAILED, Optional.empty());

    static ControlOutcome of(Either<?, ControlReply> reply) {
        return reply.fold(
                failure -> FAILED,
                r -> new ControlOutcome(
                        r.accepted() ? ControlResult.ACCEPTED : ControlResult.REFUSED, Optional.of(r.status())));
    }

    static ControlOutcome of(ControlAnswer answer) {
        return new ControlOutcome(answer.result(), answer.status().stream().findFirst());
    }

    ControlAnswer toAnswer(long id) {
        return new ControlAnswer(id, result, status.map(List::of).orElse(List.of()));
    }

    boolean isAccepted() {
        return result == ControlResult.ACCEPTED;
    }

    /** Whether the endpoint is known to have accepted a term higher than the given one. */
    boolean hasAcceptedTermAbove(long term) {
        return status.filter(s -> s.acceptedTerm() > term).isPresent();
    }
}
