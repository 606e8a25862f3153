package org.hyssopswitch.bench.fleet;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;

/** Endpoints of three-server groups: roles, terms and fencing, without data. */
final class FleetEndpoints {

    private static final long OFFSET = 1_000;

    private final Map<EndpointId, EndpointStatus> statuses = new HashMap<>();
    private final Map<EndpointId, EndpointId> primaries = new HashMap<>();
    private final Set<EndpointId> silent = new HashSet<>();
    private final Map<EndpointId, Long> silentSince = new HashMap<>();

    void declare(TeamConfiguration team) {
        team.databases().forEach(d -> {
            EndpointId first = d.endpoints().get(0).id();
            for (EndpointDeclaration endpoint : d.endpoints()) {
                EndpointRole role = endpoint.id().equals(first) ? EndpointRole.PRIMARY : EndpointRole.REPLICA;
                statuses.putIfAbsent(
                        endpoint.id(), new EndpointStatus(endpoint.id(), role, 1, new LogPosition(1, OFFSET), 0, 0, 0));
                primaries.putIfAbsent(endpoint.id(), first);
            }
        });
    }

    void silence(EndpointId endpoint, long nowMillis) {
        silent.add(endpoint);
        silentSince.put(endpoint, nowMillis);
    }

    boolean answers(EndpointId endpoint) {
        return !silent.contains(endpoint);
    }

    Event answer(Action.CallEndpoint call, long nowMillis) {
        if (!answers(call.endpoint())) {
            return new Event.EndpointCallCompleted(
                    call.call(), call.endpoint(), Either.left(new PlatformFailure.NoAnswer("endpoint", "timeout")));
        }
        boolean accepted = perform(call.endpoint(), call.request());
        return new Event.EndpointCallCompleted(
                call.call(), call.endpoint(), Either.right(new ControlReply(accepted, status(call, nowMillis))));
    }

    private EndpointStatus status(Action.CallEndpoint call, long nowMillis) {
        EndpointStatus s = statuses.get(call.endpoint());
        Long since = silentSince.get(primaries.get(call.endpoint()));
        long contact = s.role() == EndpointRole.PRIMARY || since == null ? 0 : nowMillis - since;
        return new EndpointStatus(
                s.endpoint(), s.role(), s.acceptedTerm(), s.applied(), s.termStart(), contact, contact);
    }

    private boolean perform(EndpointId endpoint, ControlRequest request) {
        EndpointStatus s = statuses.get(endpoint);
        if (request instanceof ControlRequest.Fence fence) {
            if (fence.term() < s.acceptedTerm()) {
                return false;
            }
            change(s, EndpointRole.FENCED, fence.term(), s.applied(), s.termStart());
        } else if (request instanceof ControlRequest.Promote promote) {
            change(s, EndpointRole.PRIMARY, promote.term(), new LogPosition(promote.term(), OFFSET), OFFSET);
            primaries.put(endpoint, endpoint);
        } else if (request instanceof ControlRequest.Follow follow) {
            change(s, EndpointRole.REPLICA, follow.term(), new LogPosition(follow.term(), OFFSET), OFFSET);
            primaries.put(endpoint, follow.primary());
        }
        return true;
    }

    private void change(EndpointStatus s, EndpointRole role, long term, LogPosition applied, long termStart) {
        statuses.put(s.endpoint(), new EndpointStatus(s.endpoint(), role, term, applied, termStart, 0, 0));
    }
}
