package org.hyssopswitch.core.suite;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;

/** In-memory endpoint: a log of write numbers with their terms, and the control calls of the endpoint contract. */
final class SimulatedEndpoint {

    static final int NO_WRITE = 0;

    final EndpointId id;
    final String dataCentre;
    boolean crashed;
    long answerDelayMillis;
    long replicationLagMillis;

    private final ProtocolMutation mutation;
    private final History history;
    private final List<LogEntry> log = new ArrayList<>();
    private EndpointRole role = EndpointRole.REPLICA;
    private long acceptedTerm = 1;
    private String coordinator = "";
    private Optional<EndpointId> followedPrimary;
    private long lastContactMillis;
    private long dataAsOfMillis;

    SimulatedEndpoint(
            String id, String dataCentre, EndpointId initialPrimary, ProtocolMutation mutation, History history) {
        this.id = new EndpointId(id);
        this.dataCentre = dataCentre;
        this.followedPrimary = Optional.of(initialPrimary);
        this.mutation = mutation;
        this.history = history;
        if (this.id.equals(initialPrimary)) {
            role = EndpointRole.PRIMARY;
        }
        log.add(new LogEntry(1, NO_WRITE, 0));
    }

    boolean isPrimary() {
        return role == EndpointRole.PRIMARY && !crashed;
    }

    long term() {
        return acceptedTerm;
    }

    BitSet visibleWrites() {
        BitSet writes = new BitSet();
        log.forEach(e -> writes.set(e.write()));
        return writes;
    }

    List<Integer> writes() {
        return log.stream().map(LogEntry::write).filter(w -> w != NO_WRITE).toList();
    }

    EndpointStatus status(long nowMillis) {
        long contactAgeMillis = isPrimary() ? 0 : nowMillis - lastContactMillis;
        long dataAgeMillis = isPrimary() ? 0 : nowMillis - dataAsOfMillis;
        return new EndpointStatus(id, role, acceptedTerm, applied(), termStart(), contactAgeMillis, dataAgeMillis);
    }

    /** Appends a write to the log; returns empty, without executing it, unless this endpoint is a running primary. */
    Optional<LogPosition> commit(int write, long nowMillis) {
        if (!isPrimary()) {
            return Optional.empty();
        }
        log.add(new LogEntry(acceptedTerm, write, nowMillis));
        history.add(new History.WriteCommitted(nowMillis, write, id, acceptedTerm));
        return Optional.of(applied());
    }

    /** Answers a control call; returns empty for an await whose position is neither reached nor refused yet. */
    Optional<ControlReply> handleControl(ControlRequest request, long nowMillis) {
        if (request instanceof ControlRequest.AwaitPosition await) {
            return handleAwait(await, nowMillis);
        }
        boolean accepted = true;
        if (request instanceof ControlRequest.Fence fence) {
            accepted = handleFence(fence, nowMillis);
        } else if (request instanceof ControlRequest.Promote promote) {
            accepted = handlePromote(promote, nowMillis);
        } else if (request instanceof ControlRequest.Follow follow) {
            accepted = handleFollow(follow, nowMillis);
        }
        boolean reverse =
                mutation == ProtocolMutation.PROMOTE_LEAST_ADVANCED && request instanceof ControlRequest.Fence;
        return Optional.of(
                new ControlReply(accepted, reverse ? statusWithReversedPosition(nowMillis) : status(nowMillis)));
    }

    /**
     * Copies the primary's log entries that are older than the replication lag, and removes entries that diverge from
     * it.
     */
    void replicateFrom(SimulatedEndpoint primary, long nowMillis) {
        if (crashed || role != EndpointRole.REPLICA || !followedPrimary.equals(Optional.of(primary.id))) {
            return;
        }
        if (!primary.isPrimary() || primary.acceptedTerm != acceptedTerm) {
            return;
        }
        // logs that agree on an entry's index and term agree on all entries before it
        int common = Math.min(log.size(), primary.log.size());
        while (!log.get(common - 1).equals(primary.log.get(common - 1))) {
            common--;
        }
        log.subList(common, log.size()).clear();
        primary.log.subList(common, primary.log.size()).stream()
                .takeWhile(e -> e.committedMillis() + replicationLagMillis < nowMillis)
                .forEach(log::add);
        lastContactMillis = nowMillis;
        dataAsOfMillis = Math.max(dataAsOfMillis, nowMillis - replicationLagMillis);
    }

    private Optional<ControlReply> handleAwait(ControlRequest.AwaitPosition await, long nowMillis) {
        if (mutation == ProtocolMutation.ACCEPT_STALE_REPLY) {
            return Optional.of(new ControlReply(true, statusClaimingTerm(await.term(), nowMillis)));
        }
        if (acceptedTerm > await.term()) {
            return Optional.of(new ControlReply(false, status(nowMillis)));
        }
        boolean reached = applied().term() == await.term() && applied().offset() >= await.offset();
        return reached ? Optional.of(new ControlReply(true, status(nowMillis))) : Optional.empty();
    }

    private boolean handleFence(ControlRequest.Fence fence, long nowMillis) {
        if (mutation == ProtocolMutation.PROMOTE_WITHOUT_FENCING) {
            return true;
        }
        boolean sameCoordinator = coordinator.equals(fence.coordinator()) || mutation == ProtocolMutation.REUSE_TERM;
        if (fence.term() == acceptedTerm) {
            coordinator = fence.coordinator();
            return sameCoordinator;
        }
        if (fence.term() < acceptedTerm) {
            return false;
        }
        acceptTerm(fence.term(), fence.coordinator(), nowMillis);
        role = EndpointRole.FENCED;
        return true;
    }

    private boolean handlePromote(ControlRequest.Promote promote, long nowMillis) {
        boolean lenient = mutation == ProtocolMutation.PROMOTE_WITHOUT_FENCING && promote.term() >= acceptedTerm;
        boolean fenced = promote.term() == acceptedTerm
                && (promote.coordinator().equals(coordinator) || mutation == ProtocolMutation.REUSE_TERM);
        if (!fenced && !lenient) {
            return false;
        }
        if (role != EndpointRole.PRIMARY || promote.term() > acceptedTerm) {
            acceptedTerm = promote.term();
            role = EndpointRole.PRIMARY;
            log.add(new LogEntry(acceptedTerm, NO_WRITE, nowMillis));
            history.add(new History.EndpointPromoted(nowMillis, id, acceptedTerm, promote.coordinator()));
        }
        return true;
    }

    private boolean handleFollow(ControlRequest.Follow follow, long nowMillis) {
        if (follow.term() < acceptedTerm || follow.primary().equals(id)) {
            return false;
        }
        if (follow.term() == acceptedTerm && role != EndpointRole.FENCED) {
            return followedPrimary.equals(Optional.of(follow.primary())) && role == EndpointRole.REPLICA;
        }
        if (follow.term() > acceptedTerm) {
            acceptTerm(follow.term(), "", nowMillis);
        }
        role = EndpointRole.REPLICA;
        followedPrimary = Optional.of(follow.primary());
        return true;
    }

    private void acceptTerm(long term, String newCoordinator, long nowMillis) {
        if (role == EndpointRole.PRIMARY) {
            lastContactMillis = nowMillis;
        }
        acceptedTerm = term;
        coordinator = newCoordinator;
    }

    private LogPosition applied() {
        return new LogPosition(log.get(log.size() - 1).term(), log.size());
    }

    private long termStart() {
        long term = applied().term();
        int start = log.size();
        while (start > 0 && log.get(start - 1).term() == term) {
            start--;
        }
        return start;
    }

    private EndpointStatus statusWithReversedPosition(long nowMillis) {
        EndpointStatus s = status(nowMillis);
        LogPosition applied = new LogPosition(1, 1_000_000 - s.applied().offset());
        return new EndpointStatus(id, role, acceptedTerm, applied, s.termStart(), s.contactAgeMillis(), 0);
    }

    private EndpointStatus statusClaimingTerm(long term, long nowMillis) {
        EndpointStatus s = status(nowMillis);
        return new EndpointStatus(id, role, term, s.applied(), s.termStart(), s.contactAgeMillis(), s.dataAgeMillis());
    }

    private record LogEntry(long term, int write, long committedMillis) {}
}
