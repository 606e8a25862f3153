package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/**
 * The connections of this VM to one endpoint and the work that waits for them.
 *
 * <p>A connection serves one client account. The VM keeps a number of connections and gives an unused one up for another
 * account first; beyond that number, connections are opened only while all are lent, and closed soon after their use, so
 * that other VMs find room.
 */
final class EndpointPool {

    /** Pause in opening after the endpoint refused a connection, milliseconds: a few statements' time. */
    private static final long FULL_PAUSE_MILLIS = 40;

    /** Pause in opening after a connection could not be opened, milliseconds. */
    private static final long FAILED_PAUSE_MILLIS = 200;

    /** Time for which an unused connection beyond those that are kept stays open, milliseconds. */
    private static final long EXTRA_IDLE_MILLIS = 100;

    /** Time for which no more connections than at the refusal are held, milliseconds. */
    private static final long CAPPED_MILLIS = 1_000;

    /** Time for which connections beyond the guaranteed share are given up at once for other VMs, milliseconds. */
    private static final long YIELD_MILLIS = 1_000;

    /** Time for which an unused connection stays open, milliseconds; endpoints close idle ones after a minute. */
    private static final long IDLE_MILLIS = 40_000;

    /** Silence with an unanswered question after which an endpoint counts as unreachable, milliseconds. */
    private static final long SILENCE_MILLIS = 500;

    /** Silence after which the endpoint is asked for a sign of life, milliseconds. */
    private static final long ASK_AFTER_MILLIS = 150;

    /** Silence after which no new work is given to the endpoint, milliseconds. */
    private static final long SUSPECT_MILLIS = 300;

    /** Time after which an endpoint whose address belongs to another process is tried again, milliseconds. */
    private static final long FOREIGN_PAUSE_MILLIS = 2_000;

    /** Time after the announcement of its stop until which an endpoint may get work, milliseconds. */
    private static final long DRAIN_USE_MILLIS = 5_500;

    /** Part of an opening's time that counts against an endpoint: the connection serves later statements too. */
    private static final double OPEN_WEIGHT = 0.3;

    private static final double SMOOTHING = 0.1;
    private static final double FIRST_SERVICE_MILLIS = 10;
    private static final double FIRST_OPEN_MILLIS = 15;
    private static final Logger LOG = LogManager.getLogger(EndpointPool.class);

    private final EndpointConnector connector;
    private final PoolEvents events;
    private final LongSupplier clock;
    private final List<PooledConnection> connections = new ArrayList<>();
    private final List<Work> waiting = new ArrayList<>();
    private final Map<Work, Long> waitingSince = new HashMap<>();
    private final PoolCounters counters = new PoolCounters();
    private Endpoint endpoint;
    private PoolLimits limits;
    private long openAfterMillis;
    private long cappedUntilMillis;
    private int cap;
    private long yieldUntilMillis;
    private long askedMillis;
    private boolean suspect;
    private Option<Long> drainingSinceMillis = Option.none();
    private long lastHeardMillis;
    private boolean reachable = true;
    private double serviceMillis = FIRST_SERVICE_MILLIS;
    private double openMillis = FIRST_OPEN_MILLIS;
    private boolean pumping;
    private Account lastAccount = Account.ANONYMOUS;

    EndpointPool(
            Endpoint endpoint, PoolLimits limits, EndpointConnector connector, PoolEvents events, LongSupplier clock) {
        this.endpoint = endpoint;
        this.limits = limits;
        this.connector = connector;
        this.events = events;
        this.clock = clock;
        this.lastHeardMillis = clock.getAsLong();
    }

    Endpoint endpoint() {
        return endpoint;
    }

    PoolEvents events() {
        return events;
    }

    long nowMillis() {
        return clock.getAsLong();
    }

    boolean reachable() {
        return reachable;
    }

    /** Takes a changed entry; connections to an earlier process are closed. */
    void update(Endpoint changed, PoolLimits changedLimits) {
        boolean same = endpoint.sameProcess(changed);
        endpoint = changed;
        drainingSinceMillis = changed.draining() ? drainingSinceMillis.orElse(Option.some(nowMillis())) : Option.none();
        limits = changedLimits;
        if (!same) {
            List.copyOf(connections).forEach(PooledConnection::discard);
            openAfterMillis = nowMillis();
            markReachable();
        }
    }

    /** Whether new work may be given to the endpoint. */
    boolean usable() {
        return reachable && !suspect && !drainingSinceMillis.exists(since -> nowMillis() - since > DRAIN_USE_MILLIS);
    }

    /** Expected milliseconds until a new statement of an account would be answered. */
    double expectedMillis(Account account) {
        long usable =
                connections.stream().filter(c -> c.account().equals(account)).count();
        boolean idle =
                connections.stream().anyMatch(c -> c.idle() && c.account().equals(account));
        double opening = idle ? 0 : openMillis * OPEN_WEIGHT;
        double queued = waiting.size() * serviceMillis / Math.max(1, Math.max(usable, connections.size()));
        double busy = connections.stream().filter(c -> !c.idle()).count() * serviceMillis / 2;
        return opening + queued + busy + serviceMillis + endpoint.coldMillis() / 100.0;
    }

    void offer(Work work) {
        int at = waiting.size();
        while (at > 0 && waiting.get(at - 1).priority() > work.priority()) {
            at--;
        }
        waiting.add(at, work);
        waitingSince.put(work, nowMillis());
        pump();
    }

    /** Opens a connection that work of an account is about to need, unless one is at hand or on its way. */
    void prefetch(Account account, boolean evict) {
        long now = nowMillis();
        boolean ready = connections.stream()
                .anyMatch(c -> (c.idle() || c.opening()) && c.account().equals(account));
        if (!ready && now >= openAfterMillis && (evict ? makeRoom(now) : connections.size() < kept(now))) {
            open(account, now);
        }
    }

    /** Takes back all work that waits. */
    List<Work> drainWaiting() {
        List<Work> result = List.copyOf(waiting);
        waiting.clear();
        waitingSince.clear();
        return result;
    }

    void close() {
        List.copyOf(connections).forEach(PooledConnection::discard);
    }

    /** Logs what happened since the last report. */
    void report() {
        LOG.info(
                "event=pool_report endpoint={} group={} connections={} idle={} waiting={} service_ms={} {}",
                endpoint.id(),
                endpoint.group(),
                connections.size(),
                connections.stream().filter(PooledConnection::idle).count(),
                waiting.size(),
                Math.round(serviceMillis),
                counters.takeReport());
    }

    /** Closes connections that are not lent. */
    void closeIdle() {
        connections.stream().filter(PooledConnection::idle).toList().forEach(PooledConnection::discard);
    }

    void tick() {
        long now = nowMillis();
        expire(now);
        checkSilence(now);
        closeUnused(now);
        if (!reachable) {
            probe(now);
        }
        pump();
    }

    /** Asks whether the endpoint is the primary and for its position, over a connection that is not lent. */
    void samplePrimary() {
        Option<PooledConnection> idle = Option.ofOptional(
                connections.stream().filter(PooledConnection::idle).findFirst());
        if (idle.isEmpty()) {
            boolean opening = connections.stream().anyMatch(PooledConnection::opening);
            if (!opening && nowMillis() >= openAfterMillis) {
                open(lastAccount, nowMillis());
            }
            return;
        }
        PooledConnection connection = idle.get();
        connection.lend();
        connection.send(new EndpointCommand.Begin(false, Option.none()), new SampleReply(connection, nowMillis()));
    }

    /** Assigns connections to waiting work and opens what is missing. */
    void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            assignIdle();
            openMissing();
        } finally {
            pumping = false;
        }
    }

    void remove(PooledConnection connection) {
        connections.remove(connection);
    }

    void heard() {
        lastHeardMillis = nowMillis();
        suspect = false;
        markReachable();
    }

    /** This VM did not run for a while, so the silence of endpoints says nothing. */
    void ignoreSilence() {
        lastHeardMillis = nowMillis();
    }

    void openedAfter(long millis) {
        counters.opened(millis);
        openMillis += SMOOTHING * (millis - openMillis);
    }

    void servedIn(long millis) {
        serviceMillis += SMOOTHING * (millis - serviceMillis);
    }

    void openRefused(ErrorCode code) {
        counters.openRefused();
        long now = nowMillis();
        if (code == ErrorCode.TOO_MANY_CONNECTIONS) {
            heard();
            openAfterMillis = now + FULL_PAUSE_MILLIS;
            cappedUntilMillis = now + CAPPED_MILLIS;
            cap = Math.max(1, connections.size());
            if (connections.size() < limits.guaranteed()) {
                events.connectionShortage(endpoint.id());
            }
        } else {
            openAfterMillis = now + FOREIGN_PAUSE_MILLIS;
            markUnreachable("refused_" + code);
        }
    }

    void connectionFailed(boolean opening) {
        if (opening) {
            openAfterMillis = nowMillis() + FAILED_PAUSE_MILLIS;
            markUnreachable("connect_failed");
        } else if (reachable && nowMillis() >= openAfterMillis) {
            // A crash breaks all connections; a new one tells it from the loss of single ones.
            probe(nowMillis());
        }
    }

    private void assignIdle() {
        for (int i = 0; i < waiting.size(); ) {
            Work work = waiting.get(i);
            Option<PooledConnection> idle = Option.ofOptional(connections.stream()
                    .filter(c -> c.idle() && c.account().equals(work.account()))
                    .max(Comparator.comparingLong(PooledConnection::sinceMillis)));
            if (idle.isEmpty()) {
                i++;
                continue;
            }
            waiting.remove(i);
            assign(work, idle.get());
        }
    }

    private void assign(Work work, PooledConnection connection) {
        long since = waitingSince.remove(work);
        Option<LogPosition> floor = work.primaryOnly() || work.control() ? Option.none() : events.floor(work);
        if (floor.isEmpty() && !work.control() && !events.isPrimary(endpoint.id())) {
            events.requeue(work);
            return;
        }
        counters.assigned(nowMillis() - since);
        connection.lend();
        work.assigned(connection, floor);
    }

    private void openMissing() {
        long now = nowMillis();
        if (now < openAfterMillis) {
            return;
        }
        Map<Account, Integer> missing = new HashMap<>();
        for (Work work : List.copyOf(waiting)) {
            missing.merge(work.account(), 1, Integer::sum);
            long opening = connections.stream()
                    .filter(c -> c.opening() && c.account().equals(work.account()))
                    .count();
            if (opening < missing.get(work.account()) && makeRoom(now)) {
                open(work.account(), now);
            }
        }
    }

    /** Connections that this VM keeps; more are opened only while all of them are lent. */
    private int kept(long now) {
        return now < yieldUntilMillis ? limits.guaranteed() : limits.kept();
    }

    /** Makes room for one more connection, if need be by closing an unused one of another account. */
    private boolean makeRoom(long now) {
        if (connections.size() < kept(now)) {
            return true;
        }
        Option<PooledConnection> oldest = Option.ofOptional(connections.stream()
                .filter(PooledConnection::idle)
                .min(Comparator.comparingLong(PooledConnection::sinceMillis)));
        if (oldest.isDefined()) {
            oldest.get().discard();
            counters.evicted();
            return true;
        }
        int most = now < cappedUntilMillis ? cap : limits.endpointMax();
        return connections.size() < most;
    }

    /** Sends a command of the VM's own; the answer is missing when no connection is available in time. */
    void control(EndpointCommand command, long limitMillis, Consumer<Option<Reply>> done) {
        ControlWork work = new ControlWork(command, lastAccount, nowMillis() + limitMillis, done);
        Option<PooledConnection> idle = Option.ofOptional(
                connections.stream().filter(PooledConnection::idle).findFirst());
        if (idle.isDefined()) {
            idle.get().lend();
            work.assigned(idle.get(), Option.none());
        } else {
            offer(work);
        }
    }

    /** Closes what this VM holds beyond its guaranteed share and does not use. */
    void yieldExtra() {
        yieldUntilMillis = nowMillis() + YIELD_MILLIS;
    }

    /** Finds out whether the endpoint accepts connections. */
    private void probe(long now) {
        boolean opening = connections.stream().anyMatch(PooledConnection::opening);
        if (!opening && now >= openAfterMillis) {
            open(lastAccount, now);
        }
    }

    private void open(Account account, long now) {
        lastAccount = account;
        PooledConnection connection = new PooledConnection(this, account, now);
        connections.add(connection);
        connection.start(connector.open(endpoint, account, connection));
    }

    private void expire(long now) {
        for (Work work : List.copyOf(waiting)) {
            if (now >= work.assignBeforeMillis()) {
                waiting.remove(work);
                waitingSince.remove(work);
                work.refused(ErrorCode.OVERLOADED, "no connection to " + endpoint.id() + " became free in time");
            }
        }
    }

    private void checkSilence(long now) {
        Option<Long> since = Option.ofOptional(connections.stream()
                .flatMap(c -> c.waitingSinceMillis().toJavaStream())
                .min(Comparator.naturalOrder()));
        long silence = since.map(from -> now - Math.max(from, lastHeardMillis)).getOrElse(0L);
        if (silence > ASK_AFTER_MILLIS && now - askedMillis > ASK_AFTER_MILLIS) {
            askedMillis = now;
            samplePrimary();
        }
        if (silence > SUSPECT_MILLIS) {
            suspect = true;
            List<Work> moved = drainWaiting();
            moved.forEach(events::requeue);
        }
        if (silence > SILENCE_MILLIS) {
            markUnreachable("silent");
            connections.stream()
                    .filter(c -> c.opening() && now - c.sinceMillis() > SILENCE_MILLIS)
                    .toList()
                    .forEach(PooledConnection::discard);
        }
    }

    private void closeUnused(long now) {
        for (PooledConnection connection : List.copyOf(connections)) {
            boolean extra = connections.size() > kept(now);
            long limit = extra ? EXTRA_IDLE_MILLIS : IDLE_MILLIS;
            if (connection.idle() && now - connection.sinceMillis() > limit) {
                connection.discard();
            }
        }
    }

    private void markReachable() {
        if (!reachable) {
            reachable = true;
            LOG.info("event=endpoint_reachable endpoint={} group={}", endpoint.id(), endpoint.group());
            events.reachabilityChanged(endpoint.id(), true);
        }
    }

    private void markUnreachable(String cause) {
        if (reachable) {
            reachable = false;
            LOG.warn(
                    "event=endpoint_unreachable endpoint={} group={} cause={} last_heard_age_ms={}",
                    endpoint.id(),
                    endpoint.group(),
                    cause,
                    nowMillis() - lastHeardMillis);
            events.reachabilityChanged(endpoint.id(), false);
            drainWaiting().forEach(events::requeue);
        }
    }

    private record SampleReply(PooledConnection connection, long askedMillis) implements ReplyHandler {

        @Override
        public void replied(Reply reply) {
            if (reply.succeeded()) {
                reply.position().forEach(position -> connection.provenPrimary(askedMillis, position));
                connection.send(new EndpointCommand.Rollback(), ReplyHandler.NONE);
            } else if (reply.error().contains(ErrorCode.READ_ONLY)) {
                connection.notPrimary();
            }
            connection.release();
        }

        @Override
        public void lost() {
            // The pool counts the failure of the connection.
        }
    }
}
