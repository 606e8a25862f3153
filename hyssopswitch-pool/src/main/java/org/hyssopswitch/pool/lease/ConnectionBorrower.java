package org.hyssopswitch.pool.lease;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.BorrowedLink;
import org.hyssopswitch.pool.endpoint.EndpointLink;
import org.hyssopswitch.pool.endpoint.LeaseEndReason;
import org.hyssopswitch.pool.endpoint.LeaseRole;
import org.hyssopswitch.pool.endpoint.LeaseSource;
import org.hyssopswitch.pool.endpoint.PositionListener;
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
 * Borrows connections from the VMs that lend them.
 *
 * <p>A lender that leaves anything unanswered is asked for a sign of life; when it stays silent, all that it lent is
 * given up and the next candidate is asked. Whether an endpoint lives is the lender's judgement, not the borrower's.
 */
public final class ConnectionBorrower implements LeaseSource {

    /** Silence of a lender with something unanswered after which it is asked for a sign of life, milliseconds. */
    private static final long PING_AFTER_MILLIS = 120;

    /** Silence after which a lender counts as lost, milliseconds: well below the time limits of statements. */
    private static final long LOST_AFTER_MILLIS = 400;

    /** Time after which a question for a position is given up, milliseconds. */
    private static final long QUERY_MILLIS = 1_000;

    /** Time between two ticks from which on this VM counts as having been paused, milliseconds. */
    private static final long PAUSE_MILLIS = 200;

    private static final Logger LOG = LogManager.getLogger(ConnectionBorrower.class);

    private final LongSupplier clock;
    private final LenderDirectory directory;
    private final Map<Long, LeasedEndpointLink> borrowed = new HashMap<>();
    private final Map<Long, Query> queries = new HashMap<>();
    private final Map<String, Long> heardMillis = new HashMap<>();
    private final Map<String, Long> pingedMillis = new HashMap<>();
    private final Map<String, Long> unansweredSinceMillis = new HashMap<>();
    private final String self;
    private PeerLinks peers;
    private long nextNumber;
    private long tickedMillis;

    /**
     * Creates a borrower that knows no other VM.
     *
     * @param self name of this VM
     * @param peers the other VMs
     * @param random chooses the first number, so that those of an earlier process are not used again
     * @param clock milliseconds of the monotonic clock
     */
    public ConnectionBorrower(String self, PeerLinks peers, RandomGenerator random, LongSupplier clock) {
        this.self = self;
        this.peers = peers;
        this.clock = clock;
        this.directory = new LenderDirectory(self);
        this.nextNumber = random.nextLong() >>> 1;
        this.tickedMillis = clock.getAsLong();
    }

    /**
     * Sends over whom messages are exchanged from now on.
     *
     * @param links the other VMs
     */
    public void connect(PeerLinks links) {
        peers = links;
    }

    /**
     * Takes the list of VMs.
     *
     * @param dataCentres data centre by name of the VM
     */
    public void update(Map<String, String> dataCentres) {
        directory.update(dataCentres);
    }

    @Override
    public LeaseRole role(Endpoint endpoint) {
        return directory
                .lender(endpoint, clock.getAsLong())
                .map(vm -> vm.equals(self) ? LeaseRole.LENDER : LeaseRole.BORROWER)
                .getOrElse(LeaseRole.DIRECT);
    }

    @Override
    public Option<BorrowedLink> borrow(
            Endpoint endpoint, Account account, int priority, long waitMillis, EndpointLink.Listener listener) {
        return directory
                .lender(endpoint, clock.getAsLong())
                .filter(vm -> !vm.equals(self))
                .map(vm -> {
                    long lease = nextNumber++;
                    LeasedEndpointLink link = new LeasedEndpointLink(
                            new LeasedEndpointLink.Origin(vm, endpoint.id(), lease), listener, this::send);
                    borrowed.put(lease, link);
                    send(
                            vm,
                            new LeaseRequest(
                                    lease, endpoint.group(), endpoint.id(), account.name(), priority, waitMillis));
                    return link;
                });
    }

    @Override
    public boolean queryPosition(Endpoint endpoint, PositionListener listener) {
        Option<String> lender = directory.lender(endpoint, clock.getAsLong()).filter(vm -> !vm.equals(self));
        lender.forEach(vm -> {
            long query = nextNumber++;
            queries.put(query, new Query(vm, endpoint.id(), listener, clock.getAsLong()));
            send(vm, new PositionQuery(query, endpoint.group(), endpoint.id()));
        });
        return lender.isDefined();
    }

    /**
     * Takes a message of a VM.
     *
     * @param vm name of the sender
     * @param message the message
     */
    public void received(String vm, PeerMessage message) {
        heardMillis.put(vm, clock.getAsLong());
        unansweredSinceMillis.remove(vm);
        directory.markResponsive(vm);
        if (message instanceof LeaseGrant grant) {
            find(vm, grant.lease()).forEach(LeasedEndpointLink::granted);
        } else if (message instanceof LeaseReply reply) {
            find(vm, reply.lease()).forEach(link -> link.replied(reply));
        } else if (message instanceof LeaseEnded ended) {
            find(vm, ended.lease()).forEach(link -> ended(link, ended.reason()));
        } else if (message instanceof PositionAnswer answer) {
            Option.of(queries.remove(answer.query())).forEach(query -> answered(vm, query, answer));
        }
    }

    /**
     * The link to a VM failed: what was sent to it may be lost.
     *
     * @param vm name of the VM
     */
    public void linkFailed(String vm) {
        lost(vm, "link_failed");
    }

    /** Looks for lenders that do not answer; called every few milliseconds. */
    public void tick() {
        long now = clock.getAsLong();
        boolean paused = now - tickedMillis > PAUSE_MILLIS;
        tickedMillis = now;
        borrowed.values().removeIf(LeasedEndpointLink::isClosed);
        queries.values().removeIf(query -> now - query.sinceMillis() > QUERY_MILLIS);
        if (paused) {
            unansweredSinceMillis.replaceAll((vm, at) -> now);
        }
        Stream<String> lenders = borrowed.values().stream()
                .filter(LeasedEndpointLink::isAwaitingReply)
                .map(link -> link.origin().vm());
        Stream.concat(lenders, queries.values().stream().map(Query::vm))
                .distinct()
                .toList()
                .forEach(vm -> askForSign(vm, now));
        List.copyOf(unansweredSinceMillis.keySet()).forEach(vm -> checkSilence(vm, now));
    }

    /** Asks a lender that has been silent for a while although it owes an answer, which may take its time. */
    private void askForSign(String vm, long now) {
        long quietSince = Math.max(heardMillis.getOrDefault(vm, 0L), pingedMillis.getOrDefault(vm, 0L));
        if (now - quietSince > PING_AFTER_MILLIS) {
            pingedMillis.put(vm, now);
            send(vm, new LenderPing(false));
        }
    }

    private void checkSilence(String vm, long now) {
        long silence = now - unansweredSinceMillis.get(vm);
        if (silence > LOST_AFTER_MILLIS) {
            lost(vm, "silent_ms_" + silence);
        }
    }

    private void lost(String vm, String cause) {
        List<LeasedEndpointLink> links = borrowed.values().stream()
                .filter(link -> link.origin().vm().equals(vm) && !link.isClosed())
                .toList();
        boolean owed = unansweredSinceMillis.remove(vm) != null;
        if (owed || !links.isEmpty()) {
            LOG.warn("event=lender_lost vm={} leases={} cause={}", vm, links.size(), cause);
            directory.markFailed(vm, clock.getAsLong());
            links.forEach(link -> ended(link, LeaseEndReason.NO_LENDER));
        }
    }

    private void ended(LeasedEndpointLink link, LeaseEndReason reason) {
        String vm = link.origin().vm();
        if (reason == LeaseEndReason.UNREACHABLE || reason == LeaseEndReason.NO_LENDER) {
            directory.markEndpointUnreachable(vm, link.origin().endpointId(), clock.getAsLong());
        }
        borrowed.remove(link.origin().lease());
        link.ended(reason);
    }

    private void answered(String vm, Query query, PositionAnswer answer) {
        if (!answer.reached()) {
            directory.markEndpointUnreachable(vm, query.endpointId(), clock.getAsLong());
            query.listener().unreachable();
        } else {
            answer.position().peek(query.listener()::primaryConfirmed).onEmpty(query.listener()::notPrimary);
        }
    }

    private Option<LeasedEndpointLink> find(String vm, long lease) {
        return Option.of(borrowed.get(lease)).filter(link -> link.origin().vm().equals(vm) && !link.isClosed());
    }

    /** Sends a message; all but the return of a connection are answered at once, by a pong if by nothing else. */
    private void send(String vm, PeerMessage message) {
        if (!(message instanceof LeaseReturn)) {
            unansweredSinceMillis.putIfAbsent(vm, clock.getAsLong());
        }
        peers.send(vm, message);
    }

    private record Query(String vm, String endpointId, PositionListener listener, long sinceMillis) {}
}
