package org.hyssopswitch.pool.lease;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.endpoint.DatabaseGroups;
import org.hyssopswitch.pool.endpoint.LeaseEndReason;
import org.hyssopswitch.pool.endpoint.PositionListener;
import org.hyssopswitch.pool.peer.LeaseCommand;
import org.hyssopswitch.pool.peer.LeaseEnded;
import org.hyssopswitch.pool.peer.LeaseGrant;
import org.hyssopswitch.pool.peer.LeaseReply;
import org.hyssopswitch.pool.peer.LeaseRequest;
import org.hyssopswitch.pool.peer.LeaseReturn;
import org.hyssopswitch.pool.peer.LenderPing;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.PositionAnswer;
import org.hyssopswitch.pool.peer.PositionQuery;

/**
 * Lends this VM's connections to other VMs, one operation at a time.
 *
 * <p>All operations of an endpoint thus wait in one queue, and a connection is reused for the next operation of the
 * same client account, whichever VM it comes from.
 */
public final class ConnectionLender {

    /** Time without a command after which a lent connection is taken back, milliseconds: its borrower is unavailable. */
    private static final long LEASE_IDLE_TIMEOUT_MILLIS = 10_000;

    /** Maximum number of leases; requests beyond it are refused at once. */
    private static final int MAX_LEASES = 2_000;

    private final DatabaseGroups groups;
    private final LongSupplier clock;
    private final Map<LeaseKey, Lease> leases = new HashMap<>();
    private PeerLinks peers;
    private boolean stopping;

    /**
     * Creates a lender.
     *
     * @param groups the database groups
     * @param peers links to the other VMs
     * @param clock milliseconds of the monotonic clock
     */
    public ConnectionLender(DatabaseGroups groups, PeerLinks peers, LongSupplier clock) {
        this.groups = groups;
        this.peers = peers;
        this.clock = clock;
    }

    /**
     * Sets the links over which messages are sent from now on.
     *
     * @param links links to the other VMs
     */
    public void connect(PeerLinks links) {
        peers = links;
    }

    /** Stops lending and closes unused connections; connections that are lent stay with their borrowers. */
    public void stop() {
        stopping = true;
        groups.stop();
    }

    /**
     * Handles a message from another VM.
     *
     * @param vm name of the sender
     * @param message the message
     */
    public void received(String vm, PeerMessage message) {
        if (message instanceof LeaseRequest request) {
            lend(new LeaseKey(vm, request.leaseId()), request);
        } else if (message instanceof LeaseCommand command) {
            LeaseKey key = new LeaseKey(vm, command.leaseId());
            Option.of(leases.get(key))
                    .peek(lease -> lease.run(command))
                    .onEmpty(() -> notifyEnded(key, LeaseEndReason.BROKEN));
        } else if (message instanceof LeaseReturn returned) {
            Option.of(leases.remove(new LeaseKey(vm, returned.leaseId()))).forEach(Lease::release);
        } else if (message instanceof LenderPing ping && !ping.reply()) {
            peers.send(vm, new LenderPing(true));
        } else if (message instanceof PositionQuery query) {
            groups.find(query.group())
                    .forEach(group -> group.queryPosition(query.endpoint(), new PositionReplier(vm, query)));
        }
    }

    /** Returns the number of connections that are lent or requested. */
    public int leaseCount() {
        return leases.size();
    }

    /** Takes back connections whose borrowers are unavailable; called every few milliseconds. */
    public void tick() {
        long now = clock.getAsLong();
        for (Map.Entry<LeaseKey, Lease> entry : List.copyOf(leases.entrySet())) {
            if (now - entry.getValue().lastUsedMillis() > LEASE_IDLE_TIMEOUT_MILLIS) {
                leases.remove(entry.getKey());
                entry.getValue().release();
                notifyEnded(entry.getKey(), LeaseEndReason.BROKEN);
            }
        }
    }

    private void lend(LeaseKey key, LeaseRequest request) {
        if (stopping) {
            notifyEnded(key, LeaseEndReason.NO_LENDER);
            return;
        }
        if (leases.size() >= MAX_LEASES) {
            notifyEnded(key, LeaseEndReason.OVERLOADED);
            return;
        }
        Account account = new Account(request.account(), Option.none());
        Lease lease = new Lease(request, account, new BorrowerNotifier(key), clock);
        leases.put(key, lease);
        Option<LeaseEndReason> refusal = groups.find(request.group())
                .map(group -> group.lend(request.endpoint(), lease))
                .getOrElse(Option.some(LeaseEndReason.NO_LENDER));
        refusal.forEach(reason -> {
            leases.remove(key);
            notifyEnded(key, reason);
        });
    }

    private void notifyEnded(LeaseKey key, LeaseEndReason reason) {
        peers.send(key.vm(), new LeaseEnded(key.leaseId(), reason));
    }

    private record LeaseKey(String vm, long leaseId) {}

    /** Notifies the borrower of the events of its lease. */
    private final class BorrowerNotifier implements Lease.Listener {

        private final LeaseKey key;

        BorrowerNotifier(LeaseKey key) {
            this.key = key;
        }

        @Override
        public void granted() {
            peers.send(key.vm(), new LeaseGrant(key.leaseId()));
        }

        @Override
        public void replied(LeaseReply reply) {
            peers.send(key.vm(), reply);
        }

        @Override
        public void ended(String group, String endpointId, LeaseEndReason defaultReason) {
            leases.remove(key);
            notifyEnded(
                    key,
                    groups.find(group)
                            .flatMap(found -> found.refusal(endpointId))
                            .getOrElse(defaultReason));
        }
    }

    private final class PositionReplier implements PositionListener {

        private final String vm;
        private final PositionQuery query;

        PositionReplier(String vm, PositionQuery query) {
            this.vm = vm;
            this.query = query;
        }

        @Override
        public void primaryConfirmed(LogPosition position) {
            peers.send(vm, new PositionAnswer(query.queryId(), true, Option.some(position)));
        }

        @Override
        public void notPrimary() {
            peers.send(vm, new PositionAnswer(query.queryId(), true, Option.none()));
        }

        @Override
        public void unreachable() {
            peers.send(vm, new PositionAnswer(query.queryId(), false, Option.none()));
        }
    }
}
