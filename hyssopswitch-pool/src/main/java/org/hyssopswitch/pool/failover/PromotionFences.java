package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failover.CommitHolder;
import org.hyssopswitch.core.failover.CommitHolders;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.endpoint.DatabaseGroups;
import org.hyssopswitch.pool.store.ObjectTable;
import org.hyssopswitch.pool.store.VersionedObject;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** The fences of all groups on the promotion leader, those of earlier leaders included. */
final class PromotionFences implements FenceContext {

    /** Period in which the records are listed, milliseconds, to find one that an earlier leader wrote late. */
    private static final long LIST_PERIOD_MILLIS = 10_000;

    /** Delay after a failed list, milliseconds. */
    private static final long LIST_RETRY_DELAY_MILLIS = 500;

    private static final Logger LOG = LogManager.getLogger(PromotionFences.class);

    private final ObjectTable<FenceRecord> table;
    private final DatabaseGroups groups;
    private final PromotionLeaderElection election;
    private final CommitHolderTracker commitHolders;
    private final DecisionLoop loop;
    private final Map<String, GroupFence> fences = new HashMap<>();
    private boolean read;
    private boolean listPending;
    private long nextListMillis;
    private long generation;

    PromotionFences(
            ObjectTable<FenceRecord> table,
            DatabaseGroups groups,
            PromotionLeaderElection election,
            CommitHolderTracker commitHolders,
            DecisionLoop loop) {
        this.table = table;
        this.groups = groups;
        this.election = election;
        this.commitHolders = commitHolders;
        this.loop = loop;
    }

    /** Forgets all fences, because the leadership has ended; the next leader ends them. */
    void reset() {
        if (read || listPending) {
            fences.values().forEach(GroupFence::close);
            fences.clear();
            read = false;
            listPending = false;
            generation++;
        }
        nextListMillis = loop.nowMillis();
    }

    /** Lists the records when it is time; called every few milliseconds while this VM leads and fences are in use. */
    void tick() {
        long now = loop.nowMillis();
        if (listPending || now < nextListMillis) {
            return;
        }
        listPending = true;
        long started = generation;
        table.list(read, result -> {
            if (started != generation) {
                return;
            }
            listPending = false;
            nextListMillis = loop.nowMillis() + (result.isRight() ? LIST_PERIOD_MILLIS : LIST_RETRY_DELAY_MILLIS);
            result.peek(listing -> {
                        listing.objects().forEach(this::inherit);
                        read = true;
                    })
                    .peekLeft(failure -> LOG.warn("event=fences_unread cause=\"{}\"", failure.describe()));
        });
    }

    /** Whether the fences of earlier leaders are known. */
    boolean isRead() {
        return read;
    }

    /** Whether replicas of a group may be paused. */
    boolean isFenced(DatabaseGroup group) {
        return Option.of(fences.get(group.name())).exists(fence -> !fence.isOpen());
    }

    /** Returns the fence of a group. */
    GroupFence of(DatabaseGroup group) {
        return fences.compute(group.name(), (name, known) -> {
            if (known != null && known.isOf(group)) {
                return known;
            }
            Option.of(known).forEach(GroupFence::close);
            return new GroupFence(group, this);
        });
    }

    @Override
    public ObjectTable<FenceRecord> table() {
        return table;
    }

    @Override
    public DecisionLoop loop() {
        return loop;
    }

    @Override
    public boolean isLeader() {
        return election.isLeader();
    }

    @Override
    public long leadership() {
        return election.termNumber();
    }

    @Override
    public void leadershipLost() {
        election.superseded();
    }

    @Override
    public List<CommitHolder> holders(DatabaseGroup group) {
        return commitHolders.find(group).map(CommitHolders::holders).getOrElse(() -> CommitHolderSurvey.listed(group));
    }

    private void inherit(VersionedObject<FenceRecord> object) {
        if (object.value().exists(record -> record.leadership() > leadership())) {
            leadershipLost();
            return;
        }
        boolean fenced = object.value().exists(record -> record.stage() != FenceRecord.Stage.OPEN);
        groups.find(object.name()).forEach(group -> {
            GroupFence fence = of(group);
            boolean later = fence.position().forAll(known -> object.position().compareTo(known) > 0);
            if (!fence.isOpen() || fence.isBusy() || !later) {
                return;
            }
            fence.setPosition(object.position());
            if (fenced) {
                fence.inherit(object);
            }
        });
    }
}
