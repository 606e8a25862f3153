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

/** A database server by hand: a log of write numbers with terms, and the control calls of the endpoint contract. */
final class FakeEndpoint {

    static final int NO_WRITE = 0;

    final EndpointId id;
    final String dataCentre;
    boolean crashed;
    long answerDelayMillis;
    long lagMillis;

    private final Mutation mutation;
    private final History history;
    private final List<Entry> log = new ArrayList<>();
    private EndpointRole role = EndpointRole.REPLICA;
    private long acceptedTerm = 1;
    private String orderer = "";
    private Optional<EndpointId> leader;
    private long contactMillis;
    private long dataMillis;

    FakeEndpoint(String id, String dataCentre, EndpointId leader, Mutation mutation, History history) {
        this.id = new EndpointId(id);
        this.dataCentre = dataCentre;
        this.leader = Optional.of(leader);
        this.mutation = mutation;
        this.history = history;
        if (this.id.equals(leader)) {
            role = EndpointRole.PRIMARY;
        }
        log.add(new Entry(1, NO_WRITE, 0));
    }

    boolean isPrimary() {
        return role == EndpointRole.PRIMARY && !crashed;
    }

    long term() {
        return acceptedTerm;
    }

    BitSet visible() {
        BitSet writes = new BitSet();
        log.forEach(e -> writes.set(e.write()));
        return writes;
    }

    List<Integer> writes() {
        return log.stream().map(Entry::write).filter(w -> w != NO_WRITE).toList();
    }

    EndpointStatus status(long nowMillis) {
        long contact = isPrimary() ? 0 : nowMillis - contactMillis;
        long data = isPrimary() ? 0 : nowMillis - dataMillis;
        return new EndpointStatus(id, role, acceptedTerm, applied(), termStart(), contact, data);
    }

    /** Commits a write, or refuses without running it. */
    Optional<LogPosition> commit(int write, long nowMillis) {
        if (!isPrimary()) {
            return Optional.empty();
        }
        log.add(new Entry(acceptedTerm, write, nowMillis));
        history.add(new History.Committed(nowMillis, write, id, acceptedTerm));
        return Optional.of(applied());
    }

    /** Answers a control call; an await that is neither reached nor refused gives nothing. */
    Optional<ControlReply> control(ControlRequest request, long nowMillis) {
        if (request instanceof ControlRequest.AwaitPosition await) {
            return await(await, nowMillis);
        }
        boolean accepted = true;
        if (request instanceof ControlRequest.Fence fence) {
            accepted = fence(fence, nowMillis);
        } else if (request instanceof ControlRequest.Promote promote) {
            accepted = promote(promote, nowMillis);
        } else if (request instanceof ControlRequest.Follow follow) {
            accepted = follow(follow, nowMillis);
        }
        boolean reverse = mutation == Mutation.PROMOTE_LEAST_ADVANCED && request instanceof ControlRequest.Fence;
        return Optional.of(new ControlReply(accepted, reverse ? reversed(nowMillis) : status(nowMillis)));
    }

    /** Takes from the primary what has had time to travel. */
    void replicate(FakeEndpoint primary, long nowMillis) {
        if (crashed || role != EndpointRole.REPLICA || !leader.equals(Optional.of(primary.id))) {
            return;
        }
        if (!primary.isPrimary() || primary.acceptedTerm != acceptedTerm) {
            return;
        }
        // entries of equal position and term are equal, and so is all before them
        int common = Math.min(log.size(), primary.log.size());
        while (!log.get(common - 1).equals(primary.log.get(common - 1))) {
            common--;
        }
        log.subList(common, log.size()).clear();
        primary.log.subList(common, primary.log.size()).stream()
                .takeWhile(e -> e.committedMillis() + lagMillis < nowMillis)
                .forEach(log::add);
        contactMillis = nowMillis;
        dataMillis = Math.max(dataMillis, nowMillis - lagMillis);
    }

    private Optional<ControlReply> await(ControlRequest.AwaitPosition await, long nowMillis) {
        if (mutation == Mutation.ACCEPT_STALE_REPLY) {
            return Optional.of(new ControlReply(true, lying(await.term(), nowMillis)));
        }
        if (acceptedTerm > await.term()) {
            return Optional.of(new ControlReply(false, status(nowMillis)));
        }
        boolean reached = applied().term() == await.term() && applied().offset() >= await.offset();
        return reached ? Optional.of(new ControlReply(true, status(nowMillis))) : Optional.empty();
    }

    private boolean fence(ControlRequest.Fence fence, long nowMillis) {
        if (mutation == Mutation.PROMOTE_WITHOUT_FENCING) {
            return true;
        }
        boolean sameOrderer = orderer.equals(fence.coordinator()) || mutation == Mutation.REUSE_TERM;
        if (fence.term() == acceptedTerm) {
            orderer = fence.coordinator();
            return sameOrderer;
        }
        if (fence.term() < acceptedTerm) {
            return false;
        }
        accept(fence.term(), fence.coordinator(), nowMillis);
        role = EndpointRole.FENCED;
        return true;
    }

    private boolean promote(ControlRequest.Promote promote, long nowMillis) {
        boolean lenient = mutation == Mutation.PROMOTE_WITHOUT_FENCING && promote.term() >= acceptedTerm;
        boolean fenced = promote.term() == acceptedTerm
                && (promote.coordinator().equals(orderer) || mutation == Mutation.REUSE_TERM);
        if (!fenced && !lenient) {
            return false;
        }
        if (role != EndpointRole.PRIMARY || promote.term() > acceptedTerm) {
            acceptedTerm = promote.term();
            role = EndpointRole.PRIMARY;
            log.add(new Entry(acceptedTerm, NO_WRITE, nowMillis));
            history.add(new History.Promoted(nowMillis, id, acceptedTerm, promote.coordinator()));
        }
        return true;
    }

    private boolean follow(ControlRequest.Follow follow, long nowMillis) {
        if (follow.term() < acceptedTerm || follow.primary().equals(id)) {
            return false;
        }
        if (follow.term() == acceptedTerm && role != EndpointRole.FENCED) {
            return leader.equals(Optional.of(follow.primary())) && role == EndpointRole.REPLICA;
        }
        if (follow.term() > acceptedTerm) {
            accept(follow.term(), "", nowMillis);
        }
        role = EndpointRole.REPLICA;
        leader = Optional.of(follow.primary());
        return true;
    }

    private void accept(long term, String by, long nowMillis) {
        if (role == EndpointRole.PRIMARY) {
            contactMillis = nowMillis;
        }
        acceptedTerm = term;
        orderer = by;
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

    private EndpointStatus reversed(long nowMillis) {
        EndpointStatus s = status(nowMillis);
        LogPosition applied = new LogPosition(1, 1_000_000 - s.applied().offset());
        return new EndpointStatus(id, role, acceptedTerm, applied, s.termStart(), s.contactAgeMillis(), 0);
    }

    private EndpointStatus lying(long term, long nowMillis) {
        EndpointStatus s = status(nowMillis);
        return new EndpointStatus(id, role, term, s.applied(), s.termStart(), s.contactAgeMillis(), s.dataAgeMillis());
    }

    private record Entry(long term, int write, long committedMillis) {}
}
