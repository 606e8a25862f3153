package org.hyssopswitch.pool.failover;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failover.LeadershipTerm;
import org.hyssopswitch.core.store.StoreEraTracker;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.peer.LeadershipPing;
import org.hyssopswitch.pool.peer.LeadershipPong;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.store.ObjectTable;
import org.hyssopswitch.pool.store.StoreFailure;
import org.hyssopswitch.pool.store.VersionedObject;
import org.hyssopswitch.proxy.net.DecisionLoop;

/**
 * Elects the promotion leader, the VM that may order promotions.
 *
 * <p>A leader keeps the leadership for as long as it answers the other VMs. It is replaced by a conditional update of
 * the leadership record in the store. Each promotion also updates the record, so a takeover fails when the leader has
 * just ordered a promotion.
 *
 * <p>A store that comes back from a copy may have lost the leadership record or hold an earlier one. A leadership is
 * therefore valid only in the era in which it was taken: the leader stops at the first sign of a later era and takes the
 * leadership again under a higher term.
 */
final class PromotionLeaderElection {

    private static final String RECORD_NAME = "promotion";

    /** Period in which candidates ping the leader, milliseconds. */
    private static final long PING_PERIOD_MILLIS = 500;

    /** Period in which VMs that are not candidates ping the leader, milliseconds. */
    private static final long NON_CANDIDATE_PING_PERIOD_MILLIS = 1_500;

    /**
     * Time without contact after which a VM that is not a candidate reads the leadership record again, milliseconds.
     */
    private static final long NON_CANDIDATE_TIMEOUT_MILLIS = 4_000;

    /** Time without contact after which a candidate takes over the leadership, milliseconds. */
    private static final long LEADER_TIMEOUT_MILLIS = 2_500;

    /** Time without contact after which a candidate takes over while a group needs a promotion, milliseconds. */
    private static final long URGENT_LEADER_TIMEOUT_MILLIS = 1_100;

    /** Maximum random delay of a takeover, milliseconds, so that the other candidates see the new record first. */
    private static final int MAX_TAKEOVER_JITTER_MILLIS = 400;

    /**
     * Time for which a missing record is not created, milliseconds: the store may have lost it, and its holder may still
     * order promotions until it learns of that. As long as a holder that pings nobody is tolerated.
     */
    private static final long MISSING_RECORD_WAIT_MILLIS = LEADER_TIMEOUT_MILLIS;

    /** Delay after a failed call to the store, milliseconds. */
    private static final long STORE_RETRY_DELAY_MILLIS = 500;

    private static final Logger LOG = LogManager.getLogger(PromotionLeaderElection.class);

    private final String self;
    private final ObjectTable<LeadershipRecord> table;
    private final StoreEraTracker eras;
    private final DecisionLoop loop;
    private final RandomGenerator random;
    private PeerLinks peers;
    private Option<VersionedObject<LeadershipRecord>> record = Option.none();
    private boolean candidate = true;
    private boolean leadershipConfirmed;
    private long promotionCount;
    private boolean operationPending;
    private long lastContactMillis;
    private long lastPingMillis;
    private long nextAttemptMillis;
    private Option<Long> recordMissingSinceMillis = Option.none();

    PromotionLeaderElection(
            String self,
            ObjectTable<LeadershipRecord> table,
            StoreEraTracker eras,
            DecisionLoop loop,
            RandomGenerator random,
            PeerLinks peers) {
        this.self = self;
        this.table = table;
        this.eras = eras;
        this.loop = loop;
        this.random = random;
        this.peers = peers;
        this.lastContactMillis = loop.nowMillis();
        this.lastPingMillis = lastContactMillis;
        this.nextAttemptMillis = lastContactMillis + random.nextInt(MAX_TAKEOVER_JITTER_MILLIS);
    }

    void connect(PeerLinks links) {
        peers = links;
    }

    /**
     * Sets whether this VM may take the leadership. In a large fleet few VMs are candidates, so that they do not race.
     */
    void setCandidate(boolean eligible) {
        candidate = eligible;
    }

    /** Returns whether this process holds the leadership, as far as it knows. */
    boolean isLeader() {
        return leadershipConfirmed && leader().contains(self) && isOfCurrentEra();
    }

    /** Returns the leader, as far as this VM knows. */
    Option<String> leader() {
        return record.flatMap(VersionedObject::value).map(LeadershipRecord::holder);
    }

    /** The store has come back from a copy: no leadership that this VM knows is valid any more. */
    void eraAdvanced() {
        LOG.warn("event=duty_voided holder={} term={} cause=era_advanced", leader().getOrElse("none"), termNumber());
        discardRecord();
    }

    /** Pings the leader and replaces it when it is unresponsive. */
    void tick(boolean urgent) {
        long now = loop.nowMillis();
        if (operationPending || now < nextAttemptMillis) {
            return;
        }
        if (record.isEmpty()) {
            readRecord();
        } else if (leader().contains(self) && !leadershipConfirmed) {
            takeLeadership();
        } else if (!isLeader()) {
            monitorLeader(now, urgent);
        }
    }

    /**
     * Adds a promotion to the leadership record and passes on the updated record, or nothing when this VM is no longer
     * the leader.
     */
    void recordPromotion(Consumer<Option<LeadershipRecord>> done) {
        if (!isLeader()) {
            done.accept(Option.none());
            return;
        }
        VersionedObject<LeadershipRecord> current = record.get();
        promotionCount = Math.max(promotionCount, current.value().get().promotions()) + 1;
        LeadershipRecord next = current.value().get().withPromotions(promotionCount);
        table.write(RECORD_NAME, Option.some(current.position()), next, result -> {
            if (!isLeader() || termNumber() != next.term().number()) {
                // The leadership was lost, or taken again under a new epoch, while the write was in flight.
                done.accept(Option.none());
            } else if (result.isRight()) {
                record = Option.some(result.get());
                done.accept(Option.some(next));
            } else if (result.getLeft() instanceof StoreFailure.Conflict
                    || result.getLeft() instanceof StoreFailure.EraChanged) {
                LOG.warn(
                        "event=duty_conflict epoch={} era={} action=read_again cause=\"{}\"",
                        next.epoch(),
                        next.era(),
                        describe(result));
                discardRecord();
                done.accept(Option.none());
            } else {
                // Only this process issues tokens of this epoch; the platform rejects them once a higher one is used.
                LOG.warn("event=promotion_uncounted token={} cause=\"{}\"", next.fencingToken(), describe(result));
                record = Option.some(new VersionedObject<>(RECORD_NAME, current.position(), Option.some(next)));
                done.accept(Option.some(next));
            }
        });
    }

    /** The platform rejected a token of this VM, possibly because it has seen a higher one. */
    void tokenRejected() {
        LOG.warn("event=duty_lost holder={} cause=token_refused", leader().getOrElse("none"));
        discardRecord();
    }

    /** Another VM has acted as the leader under a later term. */
    void superseded() {
        LOG.warn("event=duty_lost holder={} cause=superseded", leader().getOrElse("none"));
        discardRecord();
    }

    void pingReceived(String vm, LeadershipPing ping) {
        long term = termNumber();
        if (ping.term() > term && !operationPending) {
            discardRecord();
        }
        peers.send(vm, new LeadershipPong(term, isLeader() ? self : leader().getOrElse("")));
    }

    void pongReceived(String vm, LeadershipPong pong) {
        if (pong.term() > termNumber() || !pong.leader().equals(vm)) {
            discardRecord();
        } else if (leader().contains(vm)) {
            lastContactMillis = loop.nowMillis();
        }
    }

    /** Returns the number of the latest term that this VM knows, or -1 when it knows none. */
    long termNumber() {
        return record.flatMap(VersionedObject::value)
                .map(known -> known.term().number())
                .getOrElse(-1L);
    }

    private boolean isOfCurrentEra() {
        return record.flatMap(VersionedObject::value).exists(known -> known.era() == eras.current());
    }

    private void monitorLeader(long now, boolean urgent) {
        if (now - lastPingMillis >= (candidate ? PING_PERIOD_MILLIS : NON_CANDIDATE_PING_PERIOD_MILLIS)) {
            lastPingMillis = now;
            peers.send(leader().get(), new LeadershipPing(termNumber()));
        }
        if (!candidate) {
            if (now - lastContactMillis > NON_CANDIDATE_TIMEOUT_MILLIS) {
                discardRecord();
                backOff();
            }
            return;
        }
        if (now - lastContactMillis > (urgent ? URGENT_LEADER_TIMEOUT_MILLIS : LEADER_TIMEOUT_MILLIS)) {
            operationPending = true;
            loop.schedule(random.nextInt(MAX_TAKEOVER_JITTER_MILLIS), this::takeOverIfUnresponsive);
        }
    }

    private void takeOverIfUnresponsive() {
        operationPending = false;
        if (record.isDefined() && loop.nowMillis() - lastContactMillis > URGENT_LEADER_TIMEOUT_MILLIS) {
            LOG.info("event=duty_takeover from={} silent_ms={}", leader().get(), loop.nowMillis() - lastContactMillis);
            takeLeadership();
        }
    }

    private void readRecord() {
        operationPending = true;
        table.read(RECORD_NAME, result -> {
            operationPending = false;
            lastContactMillis = loop.nowMillis();
            if (result.isLeft()) {
                backOff();
            } else if (result.get().flatMap(VersionedObject::value).isDefined()) {
                record = result.get();
                recordMissingSinceMillis = Option.none();
            } else if (candidate && mayCreateRecord()) {
                writeRecord(Option.none(), new LeadershipRecord(self, 1, 0, eras.current()));
            } else {
                backOff();
            }
        });
    }

    /** Whether a missing record has been missing for as long as a holder of a lost one may still order promotions. */
    private boolean mayCreateRecord() {
        long now = loop.nowMillis();
        long since = recordMissingSinceMillis.getOrElse(now);
        recordMissingSinceMillis = Option.some(since);
        return eras.current() == 0 || now - since >= MISSING_RECORD_WAIT_MILLIS;
    }

    private void takeLeadership() {
        VersionedObject<LeadershipRecord> current = record.get();
        LeadershipTerm next = current.value().get().term().next(eras.current());
        writeRecord(Option.some(current.position()), new LeadershipRecord(self, next.epoch(), 0, next.era()));
    }

    private void writeRecord(Option<StorePosition> expected, LeadershipRecord next) {
        operationPending = true;
        table.write(RECORD_NAME, expected, next, result -> {
            operationPending = false;
            lastContactMillis = loop.nowMillis();
            if (result.isRight()) {
                record = Option.some(result.get());
                recordMissingSinceMillis = Option.none();
                leadershipConfirmed = true;
                promotionCount = 0;
                LOG.info(
                        "event=duty_taken epoch={} era={} position={}",
                        next.epoch(),
                        next.era(),
                        result.get().position());
            } else {
                LOG.info("event=duty_not_taken epoch={} cause=\"{}\"", next.epoch(), describe(result));
                discardRecord();
                backOff();
            }
        });
    }

    /** Discards the record, so that the next tick reads it again. */
    private void discardRecord() {
        record = Option.none();
        leadershipConfirmed = false;
        lastContactMillis = loop.nowMillis();
    }

    private void backOff() {
        nextAttemptMillis = loop.nowMillis() + STORE_RETRY_DELAY_MILLIS;
    }

    private static String describe(Either<StoreFailure, ?> result) {
        return result.getLeft().describe();
    }
}
