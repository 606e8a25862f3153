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
final class LeaseClaim {

    /** How the claim stands. */
    enum State {
        /** An answer of the platform is awaited. */
        PENDING,
        /** The lease is held. */
        HELD,
        /** Another orderer holds the lease or took it in between. */
        TAKEN,
        /** The platform does not answer; the promotion goes on without the lease. */
        UNREACHABLE
    }

    private final String path;
    private final String orderer;
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
     * @param orderer this orderer
     * @param knownTerm the highest term known of the group; a lease of a term up to it has served its purpose
     * @param numbers numbers the calls
     */
    LeaseClaim(DatabaseId database, String orderer, long knownTerm, LongSupplier numbers) {
        this.path = FailoverLease.path(database);
        this.orderer = orderer;
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

    void answered(long number, Either<PlatformFailure, StoredObject> result, boolean ignoreHolder, Outbox out) {
        if (number != call || state != State.PENDING) {
            return;
        }
        if (result.isLeft()) {
            failed(result.getLeft(), out);
        } else if (updating) {
            state = State.HELD;
        } else {
            read(result.get(), ignoreHolder, out);
        }
    }

    private void failed(PlatformFailure failure, Outbox out) {
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

    private void read(StoredObject object, boolean ignoreHolder, Outbox out) {
        Optional<FailoverLease> lease = FailoverLease.decode(object.value());
        boolean own = lease.filter(l -> l.orderer().equals(orderer)).isPresent();
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
        byte[] value = new FailoverLease(orderer, knownTerm + 1).encode();
        out.add(new Action.UpdateObject(call, path, object.version(), value));
    }
}
