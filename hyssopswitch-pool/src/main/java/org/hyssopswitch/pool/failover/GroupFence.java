package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failover.CommitHolder;
import org.hyssopswitch.core.failover.ReplicationFence;
import org.hyssopswitch.core.failover.ReplicationStatus;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.failover.FenceRecord.Stage;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.store.StoreFailure;
import org.hyssopswitch.pool.store.VersionedObject;

/**
 * The pause of one group's replicas during promotions, as the promotion leader knows it.
 *
 * <p>The pause is recorded before it begins. It ends once the target is the primary, or once no order to promote the
 * target can be carried out any more: one without an answer may be carried out seconds later. Until then only the target
 * receives, so that the present primary goes on acknowledging commits and the target has them all.
 */
final class GroupFence implements PromotionListener {

    /** Time between two steps that end a pause, milliseconds. */
    private static final long STEP_PERIOD_MILLIS = 250;

    /** The same while a replica does not answer, milliseconds. */
    private static final long SILENT_STEP_PERIOD_MILLIS = 1_000;

    /**
     * Time after which a command that was not answered is not carried out any more, milliseconds: endpoints drop
     * connections whose far end has been dark for 3 s.
     */
    private static final long LATE_COMMAND_MILLIS = 4_000;

    /** Time in which an earlier leader, which learns of the change from the record only, may still resume, milliseconds. */
    private static final long EARLIER_LEADER_RESUME_MILLIS = 300;

    /** Time after which an order that was not answered is not carried out any more, milliseconds. */
    private static final long LATE_ORDER_MILLIS = 15_000;

    /** Time in which a promotion that an endpoint has begun takes effect, milliseconds. */
    private static final long EFFECT_MILLIS = ReplicaPromotion.PROMOTION_TIMEOUT_MILLIS;

    private static final Logger LOG = LogManager.getLogger(GroupFence.class);

    private final DatabaseGroup group;
    private final FenceContext context;
    private final Set<CommitHolder> members = new LinkedHashSet<>();
    private Stage stage = Stage.OPEN;
    private String target = "";
    private Option<StorePosition> position = Option.none();
    private Option<FenceRecord> recorded = Option.none();
    private boolean busy;
    private boolean closed;
    private long nextStepMillis;
    private long pauseLateUntilMillis;
    private long resumeLateUntilMillis;
    private boolean ordered;
    private long orderLateUntilMillis;
    private long orderEffectiveUntilMillis;
    private long plannedNotBeforeMillis;

    GroupFence(DatabaseGroup group, FenceContext context) {
        this.group = group;
        this.context = context;
        this.resumeLateUntilMillis = nowMillis();
        this.orderLateUntilMillis = resumeLateUntilMillis;
        this.plannedNotBeforeMillis = resumeLateUntilMillis;
    }

    /** Takes over a pause that an earlier leader has recorded. It may have ordered the promotion just before it ended. */
    void inherit(VersionedObject<FenceRecord> found) {
        FenceRecord record = found.value().get();
        position = Option.some(found.position());
        stage = record.stage();
        target = record.target();
        recorded = Option.some(record);
        if (stage == Stage.FENCED) {
            orderSent();
            orderUnanswered();
        }
        pauseLateUntilMillis = nowMillis() + LATE_COMMAND_MILLIS;
        String primary = group.primary().map(Endpoint::id).getOrElse("");
        context.holders(group).stream()
                .filter(holder -> !holder.endpoint().equals(primary))
                .forEach(members::add);
        LOG.warn(
                "event=fence_inherited group={} stage={} target={} leadership={}",
                group.name(),
                stage,
                target,
                record.leadership());
    }

    /** Ends the use of this object, because the leadership was lost; the pause is left to the next leader. */
    void close() {
        closed = true;
    }

    /** Whether this is the fence of a group, which may have been removed from the configuration and added again. */
    boolean isOf(DatabaseGroup other) {
        return group == other;
    }

    /** Whether no replica is paused. */
    boolean isOpen() {
        return stage == Stage.OPEN;
    }

    /** Whether a step is under way. */
    boolean isBusy() {
        return busy;
    }

    /** Returns the position of the record, as far as it is known. */
    Option<StorePosition> position() {
        return position;
    }

    /** Sets the position of a record that another leader wrote. */
    void setPosition(StorePosition found) {
        position = Option.some(found);
    }

    /** Returns the endpoint that may be promoted while others may be paused; nothing once no promotion takes effect. */
    Option<String> promoting() {
        return Option.when(stage == Stage.FENCED, target);
    }

    /** Returns the endpoint whose promotion was ordered and may still take effect. */
    Option<String> pendingTarget() {
        return Option.when(ordered && nowMillis() < orderEffectiveUntilMillis, target);
    }

    /**
     * Whether a promotion may start.
     *
     * @param planned whether it is planned; one that is waits until late copies of the latest order have no effect
     */
    boolean mayPromote(boolean planned) {
        return !busy && (!planned || nowMillis() >= plannedNotBeforeMillis);
    }

    /**
     * Pauses the members of a fence.
     *
     * @param fence the fence
     * @param done receives the statuses of the members that confirmed the pause; nothing if it could not be recorded
     */
    void pause(ReplicationFence fence, Consumer<Option<CommitHolderSurvey.Result>> done) {
        boolean resumeLate = nowMillis() < resumeLateUntilMillis;
        if (closed || busy || isUnclaimed() || resumeLate) {
            LOG.info(
                    "event=fence_postponed group={} leading={} busy={} unclaimed={} resume_late={}",
                    group.name(),
                    !closed,
                    busy,
                    isUnclaimed(),
                    resumeLate);
            done.accept(Option.none());
            return;
        }
        record(Stage.FENCED, fence.target().endpoint(), started -> {
            if (!started) {
                done.accept(Option.none());
                return;
            }
            LOG.info(
                    "event=fence_started group={} target={} term={} members={}",
                    group.name(),
                    target,
                    fence.term(),
                    fence.members());
            members.addAll(fence.members());
            send(new EndpointCommand.Pause(fence.term()), fence.members(), result -> {
                if (result.statuses().size() < fence.members().size()) {
                    pauseLateUntilMillis = nowMillis() + LATE_COMMAND_MILLIS;
                }
                done.accept(Option.when(!closed, result));
            });
        });
    }

    @Override
    public void orderSent() {
        ordered = true;
        orderEffectiveUntilMillis = Long.MAX_VALUE;
    }

    @Override
    public void orderAnswered(PromotionAuthority.Answer answer) {
        if (answer == PromotionAuthority.Answer.UNKNOWN) {
            orderUnanswered();
        } else {
            orderEffectiveUntilMillis = Math.max(nowMillis(), orderLateUntilMillis) + EFFECT_MILLIS;
        }
    }

    /** Goes on to end the pause, if there is one; called every few milliseconds while no promotion is under way. */
    void step() {
        long now = nowMillis();
        if (closed || busy || now < nextStepMillis || stage == Stage.OPEN) {
            return;
        }
        nextStepMillis = now + STEP_PERIOD_MILLIS;
        if (!recorded.exists(known -> known.leadership() == context.leadership())) {
            record(stage, target, claimed -> {});
        } else if (stage == Stage.RELEASING) {
            resumeIfUnchanged();
        } else if (pendingTarget().isEmpty()) {
            release();
        } else if (group.primary().exists(primary -> primary.id().equals(target))) {
            takenEffect();
        } else {
            queryTarget();
        }
    }

    private void orderUnanswered() {
        orderLateUntilMillis = nowMillis() + LATE_ORDER_MILLIS;
        orderEffectiveUntilMillis = orderLateUntilMillis + EFFECT_MILLIS;
    }

    /** Whether copies of the order that were not answered may still be carried out. */
    private boolean isUncertain() {
        return nowMillis() < orderLateUntilMillis;
    }

    /** Ends the pause, because no promotion of the target takes effect any more. */
    private void release() {
        if (stage == Stage.FENCED && !busy) {
            record(Stage.RELEASING, "", released -> {
                if (released) {
                    ordered = false;
                    resume();
                }
            });
        }
    }

    /** Asks the target whether it leads, of which this VM may not have learnt yet. */
    private void queryTarget() {
        busy = true;
        group.queryStatus(target, STEP_PERIOD_MILLIS, status -> {
            busy = false;
            if (!closed && status.exists(ReplicationStatus::primary)) {
                group.samplePrimary(target);
                takenEffect();
            }
        });
    }

    private void takenEffect() {
        if (isUncertain()) {
            plannedNotBeforeMillis = nowMillis() + EFFECT_MILLIS;
        }
        release();
    }

    /** Resumes the members unless another leader has changed the record, which may have paused them again. */
    private void resumeIfUnchanged() {
        busy = true;
        context.table().read(group.name(), result -> {
            busy = false;
            if (closed || result.isLeft()) {
                return;
            }
            if (result.get().map(VersionedObject::position).equals(position)) {
                resume();
            } else {
                adopt(result.get());
            }
        });
    }

    private void resume() {
        if (closed || !context.isLeader()) {
            return;
        }
        List<CommitHolder> receivers = maybePaused();
        send(new EndpointCommand.Resume(), receivers, result -> {
            boolean complete = receivers.stream()
                    .allMatch(member -> result.statuses().containsKey(member)
                            || result.ended().contains(member));
            if (!complete) {
                resumeLateUntilMillis = nowMillis() + LATE_COMMAND_MILLIS;
                nextStepMillis = nowMillis() + SILENT_STEP_PERIOD_MILLIS;
            } else if (!closed && nowMillis() >= pauseLateUntilMillis) {
                open();
            }
        });
    }

    /** Returns the members and their later processes: one that had started again unseen was paused as the earlier one. */
    private List<CommitHolder> maybePaused() {
        Stream<CommitHolder> later = CommitHolderSurvey.listed(group).stream()
                .filter(listed -> members.stream().anyMatch(listed::replaces));
        return Stream.concat(members.stream(), later).distinct().toList();
    }

    private void send(EndpointCommand command, List<CommitHolder> receivers, Consumer<CommitHolderSurvey.Result> done) {
        if (receivers.isEmpty()) {
            done.accept(new CommitHolderSurvey.Result(Map.of(), Set.of()));
            return;
        }
        busy = true;
        CommitHolderSurvey.start(group, command, receivers, context.loop(), result -> {
            busy = false;
            done.accept(result);
        });
    }

    private void open() {
        record(Stage.OPEN, "", ended -> {
            if (ended) {
                members.clear();
                LOG.info("event=fence_ended group={}", group.name());
            }
        });
    }

    /** Records a stage, unless another leader has changed the record; {@code done} receives whether to go on. */
    private void record(Stage next, String nextTarget, Consumer<Boolean> done) {
        if (closed || !context.isLeader()) {
            done.accept(false);
            return;
        }
        FenceRecord value = new FenceRecord(next, nextTarget, context.leadership());
        if (recorded.contains(value)) {
            enter(value);
            done.accept(true);
            return;
        }
        busy = true;
        context.table().write(group.name(), position, value, result -> {
            busy = false;
            if (closed) {
                done.accept(false);
            } else if (result.isRight()) {
                position = Option.some(result.get().position());
                if (isUnclaimed()) {
                    resumeLateUntilMillis = Math.max(resumeLateUntilMillis, nowMillis() + EARLIER_LEADER_RESUME_MILLIS);
                }
                recorded = Option.some(value);
                enter(value);
                done.accept(true);
            } else {
                writeFailed(value, result.getLeft(), done);
            }
        });
    }

    private void writeFailed(FenceRecord value, StoreFailure failure, Consumer<Boolean> done) {
        LOG.warn(
                "event=fence_unrecorded group={} stage={} target={} cause=\"{}\"",
                group.name(),
                value.stage(),
                value.target(),
                failure.describe());
        recorded = Option.none();
        boolean unavailable = failure instanceof StoreFailure.Unavailable;
        boolean starts = unavailable && value.stage() == Stage.FENCED && !isPrimaryReachable();
        if (starts) {
            // The group has no primary to wait with. While the store is away no other VM becomes the leader.
            enter(value);
        }
        if (!unavailable) {
            readPosition();
        }
        done.accept(starts);
    }

    /** Reads the position of the record again: a write without an answer may have been carried out. */
    private void readPosition() {
        busy = true;
        context.table().read(group.name(), result -> {
            busy = false;
            if (!closed && result.isRight()) {
                adopt(result.get());
            }
        });
    }

    /** Goes on with a record that was changed, unless a later leader has changed it. */
    private void adopt(Option<VersionedObject<FenceRecord>> changed) {
        Option<FenceRecord> found = changed.flatMap(VersionedObject::value);
        if (found.exists(record -> record.leadership() > context.leadership())) {
            context.leadershipLost();
            return;
        }
        position = changed.map(VersionedObject::position);
        recorded = found;
        if (isUnclaimed()) {
            inherit(changed.get());
        }
    }

    /** Whether an earlier leader has recorded a pause that this one has not taken over in the store. */
    private boolean isUnclaimed() {
        return recorded.exists(record -> record.leadership() < context.leadership() && record.stage() != Stage.OPEN);
    }

    private boolean isPrimaryReachable() {
        return group.primary().exists(primary -> group.isReachable(primary.id()));
    }

    private void enter(FenceRecord value) {
        stage = value.stage();
        target = value.target();
    }

    private long nowMillis() {
        return context.loop().nowMillis();
    }
}
