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
 * Claims the failover lease of one group: reads it, updates it on condition that its version is unchanged, and reads it
 * again if the response to the update was lost.
 */
final class FailoverLeaseClaim {

    /** State of the claim. */
    enum State {
        /** A response of the platform is pending. */
        PENDING,
        /** The lease is held. */
        HELD,
        /** Another coordinator holds the lease or acquired it concurrently. */
        TAKEN,
        /** The platform did not respond or rejected the call; the promotion continues without the lease. */
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
     * @param coordinator the coordinator that claims the lease
     * @param knownTerm the highest known term of the group; a lease of this or a lower term is obsolete
     * @param numbers allocates call numbers
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

    /** Returns the highest term known from the endpoints and the lease; the next term must be above it. */
    long knownTerm() {
        return knownTerm;
    }

    void start(Outbox out) {
        call = numbers.getAsLong();
        out.add(new Action.ReadObject(call, path));
    }

    /** Ends a pending claim as {@link State#UNREACHABLE}. */
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
