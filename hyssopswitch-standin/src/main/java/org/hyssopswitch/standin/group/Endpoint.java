package org.hyssopswitch.standin.group;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.standin.sql.SqlError;
import org.hyssopswitch.standin.sql.SqlFailure;

/** The replicated state of one endpoint: role, terms, log and rows. Confined to the thread of its group. */
final class Endpoint {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EndpointId id;
    private final ReplicationLog log = new ReplicationLog();
    private DataStore store = new DataStore();
    private EndpointRole role = EndpointRole.FENCED;
    private long acceptedTerm;
    private String orderer = "";
    private Optional<EndpointId> leader = Optional.empty();
    private boolean aligned;
    private long contactNanos;
    private long dataNanos;

    Endpoint(EndpointId id, long nowNanos) {
        this.id = id;
        this.contactNanos = nowNanos;
        this.dataNanos = nowNanos;
    }

    EndpointId id() {
        return id;
    }

    EndpointRole role() {
        return role;
    }

    long acceptedTerm() {
        return acceptedTerm;
    }

    LogPosition applied() {
        return log.position();
    }

    DataStore store() {
        return store;
    }

    ReplicationLog log() {
        return log;
    }

    /** The primary that a replica follows. */
    Optional<EndpointId> leader() {
        return role == EndpointRole.REPLICA ? leader : Optional.empty();
    }

    EndpointStatus status(long nowNanos) {
        boolean primary = role == EndpointRole.PRIMARY;
        long contactMillis = primary ? 0 : (nowNanos - contactNanos) / NANOS_PER_MILLI;
        long dataMillis = primary ? 0 : (nowNanos - dataNanos) / NANOS_PER_MILLI;
        return new EndpointStatus(id, role, acceptedTerm, applied(), log.termStart(), contactMillis, dataMillis);
    }

    /** Runs a control call other than an await. */
    ControlReply control(ControlRequest request, long nowNanos) {
        boolean accepted = true;
        if (request instanceof ControlRequest.Fence fence) {
            accepted = fence(fence.term(), fence.coordinator(), nowNanos);
        } else if (request instanceof ControlRequest.Promote promote) {
            accepted = promote(promote.term(), promote.coordinator(), nowNanos);
        } else if (request instanceof ControlRequest.Follow follow) {
            accepted = follow(follow.term(), follow.primary(), nowNanos);
        }
        return new ControlReply(accepted, status(nowNanos));
    }

    /** Result of an await: accepted, refused because of a higher term, or not decided yet. */
    Optional<ControlReply> await(long term, long offset, long nowNanos) {
        if (acceptedTerm > term) {
            return Optional.of(new ControlReply(false, status(nowNanos)));
        }
        boolean reached = applied().term() == term && applied().offset() >= offset;
        return reached ? Optional.of(new ControlReply(true, status(nowNanos))) : Optional.empty();
    }

    /** Appends a transaction to the log; refused with nothing written unless this is the primary. */
    Either<SqlFailure, LogPosition> commit(Transaction transaction, long nowNanos) {
        if (role != EndpointRole.PRIMARY || transaction.term() != acceptedTerm) {
            return Either.left(notPrimary());
        }
        if (!transaction.unchanged(store)) {
            return Either.left(
                    new SqlFailure(SqlError.SERIALIZATION_FAILURE, "could not serialize access: a row has changed"));
        }
        apply(new LogEntry(acceptedTerm, nowNanos, List.copyOf(transaction.mutations())));
        return Either.right(applied());
    }

    SqlFailure notPrimary() {
        return new SqlFailure(
                SqlError.READ_ONLY, "endpoint " + id + " is not the primary of term " + acceptedTerm + "; not run");
    }

    /**
     * Takes what the primary has sent by now.
     *
     * @param primary the endpoint that this one follows
     * @param nowNanos the time
     * @param lagNanos time that an entry travels
     */
    void replicate(Endpoint primary, long nowNanos, long lagNanos) {
        if (!streams(primary)) {
            return;
        }
        if (!aligned) {
            align(primary.log);
        }
        while (log.size() < primary.log.size()
                && primary.log.get(log.size()).committedNanos() + lagNanos - nowNanos <= 0) {
            apply(primary.log.get(log.size()));
        }
        contactNanos = nowNanos;
        dataNanos = Math.max(dataNanos, nowNanos - lagNanos);
    }

    /** Whether entries of the primary are on their way to this replica. */
    boolean behind(Endpoint primary) {
        return streams(primary) && log.size() < primary.log.size();
    }

    /** Time at which the first entry that this replica lacks arrives; the present or past when unknown. */
    long nextDueNanos(Endpoint primary, long lagNanos) {
        return aligned && log.size() < primary.log.size()
                ? primary.log.get(log.size()).committedNanos() + lagNanos
                : primary.contactNanos;
    }

    private boolean streams(Endpoint primary) {
        return primary.role == EndpointRole.PRIMARY && primary.acceptedTerm == acceptedTerm;
    }

    private boolean fence(long term, String by, long nowNanos) {
        if (term == acceptedTerm) {
            return !by.isEmpty() && by.equals(orderer);
        }
        if (term < acceptedTerm) {
            return false;
        }
        accept(term, by, nowNanos);
        role = EndpointRole.FENCED;
        return true;
    }

    private boolean promote(long term, String by, long nowNanos) {
        if (term != acceptedTerm || !by.equals(orderer) || role == EndpointRole.REPLICA) {
            return false;
        }
        if (role == EndpointRole.FENCED) {
            role = EndpointRole.PRIMARY;
            apply(new LogEntry(term, nowNanos, List.of()));
        }
        return true;
    }

    private boolean follow(long term, EndpointId primary, long nowNanos) {
        if (term < acceptedTerm || primary.equals(id)) {
            return false;
        }
        if (term == acceptedTerm && role != EndpointRole.FENCED) {
            return leader().equals(Optional.of(primary));
        }
        if (term > acceptedTerm) {
            accept(term, "", nowNanos);
        }
        role = EndpointRole.REPLICA;
        leader = Optional.of(primary);
        aligned = false;
        return true;
    }

    /**
     * Accepts a higher term. The contact age of a primary counts from now, but not its data age: it may have been
     * replaced long ago without knowing.
     */
    private void accept(long term, String by, long nowNanos) {
        if (role == EndpointRole.PRIMARY) {
            contactNanos = nowNanos;
        }
        acceptedTerm = term;
        orderer = by;
    }

    private void align(ReplicationLog primaryLog) {
        int common = log.commonPrefix(primaryLog);
        if (common < log.size()) {
            log.truncate(common);
            store = new DataStore();
            log.entries().forEach(e -> e.mutations().forEach(store::apply));
        }
        aligned = true;
    }

    private void apply(LogEntry entry) {
        log.append(entry);
        entry.mutations().forEach(store::apply);
    }
}
