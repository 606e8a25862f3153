package org.hyssopswitch.pool.failover;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failover.CommitHolder;
import org.hyssopswitch.core.failover.CommitHolders;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.store.ObjectTable;
import org.hyssopswitch.pool.store.StoreFailure;
import org.hyssopswitch.pool.store.VersionedObject;
import org.hyssopswitch.proxy.net.DecisionLoop;

/**
 * Keeps, on the promotion leader, the record of the servers that may hold acknowledged commits of each group with
 * synchronous replication. The record is in the store, so that the next leader knows of servers that have left before.
 */
final class CommitHolderTracker {

    /** Period in which the list of a group's endpoints is compared with its record, milliseconds. */
    private static final long TRACKING_PERIOD_MILLIS = 100;

    /** Period in which servers that are no longer listed are queried, milliseconds. */
    private static final long SURVEY_PERIOD_MILLIS = 1_000;

    /** Time after which a server that is neither listed nor answers is taken to have ended, milliseconds. */
    private static final long SILENT_UNTIL_ENDED_MILLIS = 10_000;

    /** Delay after a failed call to the store, milliseconds. */
    private static final long STORE_RETRY_DELAY_MILLIS = 500;

    /** Maximum number of records that are read or written at the same time. */
    private static final int MAX_CONCURRENT_CALLS = 8;

    private static final Logger LOG = LogManager.getLogger(CommitHolderTracker.class);

    private final ObjectTable<CommitHolders> table;
    private final DecisionLoop loop;
    private final Map<String, TrackedGroup> tracked = new HashMap<>();
    private int pendingCalls;

    CommitHolderTracker(ObjectTable<CommitHolders> table, DecisionLoop loop) {
        this.table = table;
        this.loop = loop;
    }

    /** Discards all records, which another leader may change from now on. */
    void reset() {
        tracked.clear();
    }

    /** Brings the record of a group up to date; called every few milliseconds. */
    void track(DatabaseGroup group) {
        tracked.computeIfAbsent(group.name(), name -> new TrackedGroup()).step(group, loop.nowMillis());
    }

    /** Returns the holders of a group, the listed ones included; nothing if the record has not been read. */
    Option<CommitHolders> find(DatabaseGroup group) {
        return Option.of(tracked.get(group.name())).flatMap(known -> known.merged(group));
    }

    /** Returns the holders of a group that are recorded, of which the next leader knows as well. */
    Option<CommitHolders> findRecorded(DatabaseGroup group) {
        return Option.of(tracked.get(group.name())).flatMap(known -> known.recorded);
    }

    /**
     * Records holders before a promotion is ordered.
     *
     * @param group the group
     * @param next the holders
     * @param done receives whether the promotion may be ordered; not if another VM has changed the record
     */
    void record(DatabaseGroup group, CommitHolders next, Consumer<Boolean> done) {
        TrackedGroup known = tracked.get(group.name());
        if (known == null) {
            done.accept(false);
            return;
        }
        known.write(group.name(), next, done);
    }

    private final class TrackedGroup {

        private final Map<CommitHolder, Long> silentSinceMillis = new HashMap<>();
        private Option<StorePosition> position = Option.none();
        private Option<CommitHolders> current = Option.none();
        private Option<CommitHolders> recorded = Option.none();
        private boolean callPending;
        private boolean surveyPending;
        private long nextStepMillis;
        private long nextSurveyMillis;

        private Option<CommitHolders> merged(DatabaseGroup group) {
            return current.map(known -> known.withListed(
                    CommitHolderSurvey.listed(group),
                    group.primary().map(Endpoint::id).getOrElse("")));
        }

        private void step(DatabaseGroup group, long now) {
            if (callPending || now < nextStepMillis || pendingCalls >= MAX_CONCURRENT_CALLS) {
                return;
            }
            nextStepMillis = now + TRACKING_PERIOD_MILLIS;
            if (current.isEmpty()) {
                read(group.name());
                return;
            }
            current = merged(group);
            if (!current.equals(recorded)) {
                write(group.name(), current.get(), written -> {});
            } else if (!surveyPending && now >= nextSurveyMillis) {
                surveyUnlisted(group, now);
            }
        }

        private void read(String name) {
            startCall();
            table.read(name, result -> {
                endCall();
                if (result.isLeft()) {
                    logFailure(name, result);
                    return;
                }
                position = result.get().map(VersionedObject::position);
                recorded = result.get().flatMap(VersionedObject::value);
                current = recorded.orElse(Option.some(CommitHolders.UNKNOWN));
            });
        }

        private void write(String name, CommitHolders next, Consumer<Boolean> done) {
            if (callPending) {
                done.accept(false);
                return;
            }
            startCall();
            current = Option.some(next);
            table.write(name, position, next, result -> {
                endCall();
                if (result.isRight()) {
                    position = Option.some(result.get().position());
                    recorded = Option.some(next);
                    LOG.info(
                            "event=commit_holders_recorded group={} holders={} primary={} floor={}",
                            name,
                            names(next.holders()),
                            next.primary(),
                            next.floor());
                    done.accept(true);
                    return;
                }
                logFailure(name, result);
                boolean unavailable = result.getLeft() instanceof StoreFailure.Unavailable;
                if (!unavailable) {
                    current = Option.none();
                }
                // Without the store no other VM becomes the leader, and this one writes the record later.
                done.accept(unavailable);
            });
        }

        private void surveyUnlisted(DatabaseGroup group, long now) {
            nextSurveyMillis = now + SURVEY_PERIOD_MILLIS;
            List<CommitHolder> listed = CommitHolderSurvey.listed(group);
            List<CommitHolder> unlisted = current.get().holders().stream()
                    .filter(holder -> !listed.contains(holder))
                    .toList();
            silentSinceMillis.keySet().retainAll(unlisted);
            if (unlisted.isEmpty()) {
                return;
            }
            surveyPending = true;
            CommitHolderSurvey.start(group, unlisted, loop, result -> {
                Set<CommitHolder> ended = ended(unlisted, result);
                if (ended.isEmpty()) {
                    surveyPending = false;
                } else {
                    queryPrimary(group, ended);
                }
            });
        }

        private Set<CommitHolder> ended(List<CommitHolder> unlisted, CommitHolderSurvey.Result result) {
            long now = loop.nowMillis();
            Set<CommitHolder> ended = new HashSet<>(result.ended());
            for (CommitHolder holder : unlisted) {
                if (result.received().containsKey(holder)) {
                    silentSinceMillis.remove(holder);
                } else if (now - silentSinceMillis.computeIfAbsent(holder, key -> now) >= SILENT_UNTIL_ENDED_MILLIS) {
                    ended.add(holder);
                }
            }
            return ended;
        }

        private void queryPrimary(DatabaseGroup group, Set<CommitHolder> ended) {
            List<CommitHolder> primary =
                    group.primary().map(CommitHolderSurvey::holderOf).toList().asJava();
            CommitHolderSurvey.start(group, primary, loop, result -> {
                if (result.received().isEmpty()) {
                    surveyPending = false;
                } else {
                    LogPosition primaryPosition =
                            result.received().values().iterator().next();
                    queryListed(group, ended, primaryPosition);
                }
            });
        }

        private void queryListed(DatabaseGroup group, Set<CommitHolder> ended, LogPosition primaryPosition) {
            CommitHolderSurvey.start(group, CommitHolderSurvey.listed(group), loop, result -> {
                surveyPending = false;
                int copies = group.declaration().syncReplicas() + 1;
                current = current.map(known -> known.withoutEnded(ended, copies, primaryPosition, result.received()));
            });
        }

        private void startCall() {
            callPending = true;
            pendingCalls++;
        }

        private void endCall() {
            callPending = false;
            pendingCalls--;
        }

        private void logFailure(String name, Either<StoreFailure, ?> result) {
            nextStepMillis = loop.nowMillis() + STORE_RETRY_DELAY_MILLIS;
            LOG.warn(
                    "event=commit_holders_unrecorded group={} cause=\"{}\"",
                    name,
                    result.getLeft().describe());
        }
    }

    private static List<String> names(List<CommitHolder> holders) {
        return holders.stream()
                .map(holder -> holder.endpoint() + (holder.draining() ? "(draining)" : ""))
                .toList();
    }
}
