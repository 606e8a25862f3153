package org.hyssopswitch.core.failover;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.DatabaseId;

/**
 * Claims the failover lease of one group: reads it, updates it on condition, and re-reads it when the answer to the
 * update was lost.
 */
final class FailoverLeaseClaim {

    /** How the claim stands. */
    enum State {
        /** An answer of the platform is awaited. */
        PENDING,
        /** The lease is held. */
        HELD,
        /** Another coordinator holds the lease or took it in between. */
        TAKEN,
        /** The platform does not answer; the promotion goes on without the lease. */
        UNREACHABLE
    }

    private final String path;
    private final String coordinator;
    private final LongSupplier numbers;
    private long knownTerm;
    private long call;
    private boolean updating;
    private boolean rereading;
    private State state = State.PENDING;

    /**
     * Creates a claim.
     *
     * @param database the group
     * @param coordinator this coordinator
     * @param knownTerm the highest term known of the group; a lease of a term up to it has served its purpose
     * @param numbers numbers the calls
     */
    FailoverLeaseClaim(DatabaseId database, String coordinator, long knownTerm, LongSupplier numbers) {
        this.path = FailoverLease.path(database);
        this.coordinator = coordinator;
        this.knownTerm = knownTerm;
        this.numbers = numbers;
    }

    State state() {
        return state;
    }

    /** The highest term known of endpoints and lease; the next term to order is above it. */
    long knownTerm() {
        return knownTerm;
    }

    void start(Outbox out) {
        call = numbers.getAsLong();
        out.add(new Action.ReadObject(call, path));
    }

    /** Gives up waiting for the platform. */
    void timeOut() {
        if (state == State.PENDING) {
            state = State.UNREACHABLE;
        }
    }

    void onAnswer(long number, Either<PlatformFailure, StoredObject> result, boolean ignoreHolder, Outbox out) {
        if (number != call || state != State.PENDING) {
            return;
        }
        if (result.isLeft()) {
            onFailure(result.getLeft(), out);
        } else if (updating) {
            state = State.HELD;
        } else {
            onLeaseRead(result.get(), ignoreHolder, out);
        }
    }

    private void onFailure(PlatformFailure failure, Outbox out) {
        if (failure instanceof PlatformFailure.VersionConflict) {
            state = State.TAKEN;
        } else if (failure instanceof PlatformFailure.NoAnswer && updating) {
            updating = false;
            rereading = true;
            start(out);
        } else {
            state = State.UNREACHABLE;
        }
    }

    private void onLeaseRead(StoredObject object, boolean ignoreHolder, Outbox out) {
        Optional<FailoverLease> lease = FailoverLease.decode(object.value());
        boolean own = lease.filter(l -> l.coordinator().equals(coordinator)).isPresent();
        if (rereading) {
            state = own ? State.HELD : State.TAKEN;
            return;
        }
        long leaseTerm = lease.map(FailoverLease::term).orElse(0L);
        if (leaseTerm > knownTerm && !own && !ignoreHolder) {
            state = State.TAKEN;
            return;
        }
        knownTerm = Math.max(knownTerm, leaseTerm);
        updating = true;
        call = numbers.getAsLong();
        byte[] value = new FailoverLease(coordinator, knownTerm + 1).encode();
        out.add(new Action.UpdateObject(call, path, object.version(), value));
    }
}
