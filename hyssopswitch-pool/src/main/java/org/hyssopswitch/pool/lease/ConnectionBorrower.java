package org.hyssopswitch.pool.lease;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
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
 * <p>A lender that leaves anything unanswered is pinged. When it stays unresponsive, all its leases are abandoned and
 * the next candidate is asked. Whether an endpoint is reachable is judged by the lender, not by the borrower.
 */
public final class ConnectionBorrower implements LeaseSource {

    /** Time without contact after which a lender that owes an answer is pinged, milliseconds. */
    private static final long PING_AFTER_MILLIS = 120;

    /**
     * Time without an answer after which a lender is considered lost, milliseconds: well below the timeouts of
     * statements.
     */
    private static final long LENDER_TIMEOUT_MILLIS = 400;

    /** Timeout of position queries, milliseconds. */
    private static final long POSITION_QUERY_TIMEOUT_MILLIS = 1_000;

    /** Time between two ticks above which this VM is considered to have been suspended, milliseconds. */
    private static final long SUSPENSION_THRESHOLD_MILLIS = 200;

    private static final Logger LOG = LogManager.getLogger(ConnectionBorrower.class);

    private final LongSupplier clock;
    private final LenderDirectory directory;
    private final Map<Long, LeasedEndpointLink> leasedLinks = new HashMap<>();
    private final Map<Long, PendingQuery> pendingQueries = new HashMap<>();
    private final Map<String, Long> lastContactMillis = new HashMap<>();
    private final Map<String, Long> lastPingMillis = new HashMap<>();
    private final Map<String, Long> unansweredSinceMillis = new HashMap<>();
    private final String self;
    private PeerLinks peers;
    private long nextId;
    private long lastTickMillis;

    /**
     * Creates a borrower that knows no other VM.
     *
     * @param self name of this VM
     * @param peers links to the other VMs
     * @param random chooses the first identifier, so that those of an earlier process are not reused
     * @param clock milliseconds of the monotonic clock
     */
    public ConnectionBorrower(String self, PeerLinks peers, RandomGenerator random, LongSupplier clock) {
        this.self = self;
        this.peers = peers;
        this.clock = clock;
        this.directory = new LenderDirectory(self);
        this.nextId = random.nextLong() >>> 1;
        this.lastTickMillis = clock.getAsLong();
    }

    /**
     * Sets the links over which messages are sent from now on.
     *
     * @param links links to the other VMs
     */
    public void connect(PeerLinks links) {
        peers = links;
    }

    /**
     * Updates the list of VMs.
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
                    long leaseId = nextId++;
                    LeasedEndpointLink link = new LeasedEndpointLink(
                            new LeasedEndpointLink.Origin(vm, endpoint.id(), leaseId), listener, this::send);
                    leasedLinks.put(leaseId, link);
                    send(
                            vm,
                            new LeaseRequest(
                                    leaseId, endpoint.group(), endpoint.id(), account.name(), priority, waitMillis));
                    return link;
                });
    }

    @Override
    public boolean queryPosition(Endpoint endpoint, PositionListener listener) {
        Option<String> lender = directory.lender(endpoint, clock.getAsLong()).filter(vm -> !vm.equals(self));
        lender.forEach(vm -> {
            long queryId = nextId++;
            pendingQueries.put(queryId, new PendingQuery(vm, endpoint.id(), listener, clock.getAsLong()));
            send(vm, new PositionQuery(queryId, endpoint.group(), endpoint.id()));
        });
        return lender.isDefined();
    }

    /**
     * Handles a message from another VM.
     *
     * @param vm name of the sender
     * @param message the message
     */
    public void received(String vm, PeerMessage message) {
        lastContactMillis.put(vm, clock.getAsLong());
        unansweredSinceMillis.remove(vm);
        directory.markResponsive(vm);
        if (message instanceof LeaseGrant grant) {
            findLink(vm, grant.leaseId()).forEach(LeasedEndpointLink::granted);
        } else if (message instanceof LeaseReply reply) {
            findLink(vm, reply.leaseId()).forEach(link -> link.replied(reply));
        } else if (message instanceof LeaseEnded ended) {
            findLink(vm, ended.leaseId()).forEach(link -> leaseEnded(link, ended.reason()));
        } else if (message instanceof PositionAnswer answer) {
            Option.of(pendingQueries.remove(answer.queryId())).forEach(query -> positionAnswered(vm, query, answer));
        }
    }

    /**
     * A link to a VM was opened: what waited for it is sent now, so the lender's time to answer starts again.
     *
     * @param vm name of the VM
     */
    public void linkOpened(String vm) {
        unansweredSinceMillis.computeIfPresent(vm, (name, since) -> clock.getAsLong());
    }

    /**
     * The link to a VM failed: messages sent to it may be lost.
     *
     * @param vm name of the VM
     */
    public void linkFailed(String vm) {
        lenderLost(vm, "link_failed");
    }

    /**
     * A VM, possibly this one, stops and lends nothing for a while. Connections that it has lent stay usable.
     *
     * @param vm name of the VM
     * @param unavailableMillis time for which it is not asked, milliseconds
     */
    public void vmStopping(String vm, long unavailableMillis) {
        directory.markStopping(vm, clock.getAsLong() + unavailableMillis);
    }

    /**
     * Returns the VMs that this one would ask now for connections to some endpoints.
     *
     * @param endpoints the endpoints
     */
    public Set<String> lenders(Collection<Endpoint> endpoints) {
        long now = clock.getAsLong();
        return endpoints.stream()
                .flatMap(endpoint -> directory.lender(endpoint, now).toJavaStream())
                .filter(vm -> !vm.equals(self))
                .collect(Collectors.toSet());
    }

    /** Detects unresponsive lenders; called every few milliseconds. */
    public void tick() {
        long now = clock.getAsLong();
        boolean suspended = now - lastTickMillis > SUSPENSION_THRESHOLD_MILLIS;
        lastTickMillis = now;
        leasedLinks.values().removeIf(LeasedEndpointLink::isClosed);
        pendingQueries.values().removeIf(query -> now - query.sinceMillis() > POSITION_QUERY_TIMEOUT_MILLIS);
        if (suspended) {
            unansweredSinceMillis.replaceAll((vm, at) -> now);
        }
        Stream<String> lenders = leasedLinks.values().stream()
                .filter(LeasedEndpointLink::isAwaitingReply)
                .map(link -> link.origin().vm());
        Stream.concat(lenders, pendingQueries.values().stream().map(PendingQuery::vm))
                .distinct()
                .toList()
                .forEach(vm -> pingIfUnresponsive(vm, now));
        List.copyOf(unansweredSinceMillis.keySet()).forEach(vm -> checkTimeout(vm, now));
    }

    /** Pings a lender that owes an answer and has sent nothing for a while; the answer itself may take longer. */
    private void pingIfUnresponsive(String vm, long now) {
        long lastActivityMillis = Math.max(lastContactMillis.getOrDefault(vm, 0L), lastPingMillis.getOrDefault(vm, 0L));
        if (now - lastActivityMillis > PING_AFTER_MILLIS) {
            lastPingMillis.put(vm, now);
            send(vm, new LenderPing(false));
        }
    }

    private void checkTimeout(String vm, long now) {
        long unresponsiveMillis = now - unansweredSinceMillis.get(vm);
        if (unresponsiveMillis > LENDER_TIMEOUT_MILLIS) {
            lenderLost(vm, "silent_ms_" + unresponsiveMillis);
        }
    }

    private void lenderLost(String vm, String cause) {
        List<LeasedEndpointLink> links = leasedLinks.values().stream()
                .filter(link -> link.origin().vm().equals(vm) && !link.isClosed())
                .toList();
        boolean awaitingAnswer = unansweredSinceMillis.remove(vm) != null;
        if (awaitingAnswer || !links.isEmpty()) {
            LOG.warn("event=lender_lost vm={} leases={} cause={}", vm, links.size(), cause);
            directory.markFailed(vm, clock.getAsLong());
            links.forEach(link -> leaseEnded(link, LeaseEndReason.NO_LENDER));
        }
    }

    private void leaseEnded(LeasedEndpointLink link, LeaseEndReason reason) {
        String vm = link.origin().vm();
        if (reason == LeaseEndReason.UNREACHABLE || reason == LeaseEndReason.NO_LENDER) {
            directory.markEndpointUnreachable(vm, link.origin().endpointId(), clock.getAsLong());
        }
        leasedLinks.remove(link.origin().leaseId());
        link.ended(reason);
    }

    private void positionAnswered(String vm, PendingQuery query, PositionAnswer answer) {
        if (!answer.reachable()) {
            directory.markEndpointUnreachable(vm, query.endpointId(), clock.getAsLong());
            query.listener().unreachable();
        } else {
            answer.position().peek(query.listener()::primaryConfirmed).onEmpty(query.listener()::notPrimary);
        }
    }

    private Option<LeasedEndpointLink> findLink(String vm, long leaseId) {
        return Option.of(leasedLinks.get(leaseId))
                .filter(link -> link.origin().vm().equals(vm) && !link.isClosed());
    }

    /**
     * Sends a message. Except after the return of a connection, the receiver must send something within the lender
     * timeout, if only the pong to a ping.
     */
    private void send(String vm, PeerMessage message) {
        if (!(message instanceof LeaseReturn)) {
            unansweredSinceMillis.putIfAbsent(vm, clock.getAsLong());
        }
        peers.send(vm, message);
    }

    private record PendingQuery(String vm, String endpointId, PositionListener listener, long sinceMillis) {}
}
