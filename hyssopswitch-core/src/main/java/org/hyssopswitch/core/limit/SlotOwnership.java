package org.hyssopswitch.core.limit;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.membership.MembershipView;
import org.hyssopswitch.core.retry.Backoff;

/**
 * Takes over the slots of the own data centre that nobody owns and that this VM ranks highest for, by conditional
 * updates of their records. An update without an answer is resolved by reading the record again.
 */
final class SlotOwnership {

    private static final long SCAN_INTERVAL_MILLIS = 200;
    private static final long STABLE_VIEW_MILLIS = 1_000;
    private static final long REREAD_MILLIS = 5_000;
    private static final int MAX_CALLS = 64;
    private static final long BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 20_000;

    private final MembershipView view;
    private final LimitSettings settings;
    private final SplitTable splits;
    private final SlotLocator locator;
    private final LongSupplier callNumbers;
    private final Backoff backoff;
    private final List<SlotState> slots = new ArrayList<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private long nextScanMillis;
    private long viewVersion = -1;
    private long viewMillis;
    private boolean leaving;

    SlotOwnership(
            MembershipView view,
            LimitSettings settings,
            SplitTable splits,
            SlotLocator locator,
            LongSupplier callNumbers,
            RandomGenerator random) {
        this.view = view;
        this.settings = settings;
        this.splits = splits;
        this.locator = locator;
        this.callNumbers = callNumbers;
        this.backoff = new Backoff(BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random);
        for (int slot = 0; slot < settings.slots(); slot++) {
            slots.add(new SlotState(slot));
        }
    }

    boolean owns(int slot) {
        return slots.get(slot).isOwned() && !leaving;
    }

    /** The slots that this VM owns. */
    long ownedSlots() {
        return slots.stream().filter(SlotState::isOwned).count();
    }

    long epoch(int slot) {
        return slots.get(slot).record().map(SlotRecord::epoch).orElse(0L);
    }

    long adoptUntilMillis(int slot) {
        return slots.get(slot).adoptUntilMillis();
    }

    long grownVersion(int slot) {
        return slots.get(slot).grownVersion();
    }

    /** Time since which the grown version's splits may be lent in full and no share of a former owner is in use. */
    long grownSinceMillis(int slot) {
        return slots.get(slot).grownSinceMillis();
    }

    /** Configuration version below which this VM must not lend from a slot. */
    long requiredVersion(int slot) {
        return slots.get(slot)
                .record()
                .map(r -> Math.max(r.settledVersion(), r.grownVersion()))
                .orElse(Long.MAX_VALUE);
    }

    Optional<VmAddress> knownOwner(int slot) {
        return slots.get(slot)
                .record()
                .flatMap(SlotRecord::owner)
                .filter(o -> !view.isConfirmedGone(o.vm(), o.incarnation()));
    }

    /** Notes that a holder takes this VM for the owner, so that an old record is read again. */
    void recordMisdirectedRequest(int slot, long nowMillis) {
        SlotState state = slots.get(slot);
        if (nowMillis - state.readMillis() >= REREAD_MILLIS && !state.hasPendingCalls()) {
            state.requireRead();
        }
    }

    void requestSettlement(int slot, long version) {
        slots.get(slot).requestSettlement(version);
    }

    /** Follows a change of the splits from a former configuration version. */
    void configure(long former, Set<Integer> moved) {
        for (SlotState state : slots) {
            if (moved.contains(state.slot())) {
                state.requestSettlement(splits.version());
            } else {
                state.carryGrownVersion(former, splits.version());
            }
        }
    }

    /** Begins to give up all slots; their records are written without an owner. */
    void releaseAll() {
        leaving = true;
    }

    /** Whether no slot is owned. */
    boolean isReleased() {
        return slots.stream().noneMatch(SlotState::isOwned);
    }

    void tick(ShareLender lender, long nowMillis, Outbox out) {
        if (nowMillis < nextScanMillis || splits.version() == 0) {
            return;
        }
        nextScanMillis = nowMillis + SCAN_INTERVAL_MILLIS;
        if (viewVersion != view.version()) {
            viewVersion = view.version();
            viewMillis = nowMillis;
        }
        for (SlotState state : slots) {
            if (calls.size() < MAX_CALLS && state.isDue(nowMillis)) {
                advance(state, lender, nowMillis, out);
            }
        }
    }

    void handle(Event.ObjectCallCompleted event, long nowMillis) {
        Call call = calls.remove(event.call());
        if (call == null) {
            return;
        }
        call.state().callAnswered();
        if (call.dataCentre().equals(view.self().dataCentre())) {
            handleOwn(call, event.result(), nowMillis);
        } else {
            event.result()
                    .peek(o -> SlotRecord.decode(o.path(), o.value())
                            .peek(r -> call.state().otherRecords().put(call.dataCentre(), r)))
                    .peekLeft(f -> retryLater(call.state(), f, nowMillis));
        }
    }

    private void advance(SlotState state, ShareLender lender, long nowMillis, Outbox out) {
        if (state.needsRead()) {
            if (state.isOwned() || (!leaving && isCandidate(state.slot(), nowMillis))) {
                read(state, view.self().dataCentre(), out);
            }
            return;
        }
        SlotRecord record = state.record().get();
        if (leaving) {
            if (state.isOwned()) {
                update(state, record.withOwner(Optional.empty()), nowMillis, out);
            }
        } else if (state.isOwned()) {
            advanceVersions(state, record, lender, nowMillis, out);
        } else if (isVacant(record)
                && isCandidate(state.slot(), nowMillis)
                && splits.version() >= record.settledVersion()) {
            update(state, claimed(record), nowMillis, out);
        }
    }

    private SlotRecord claimed(SlotRecord record) {
        // A slot that was never owned has no shares out, so it is settled for any version.
        SlotRecord next = record.withOwner(Optional.of(view.self()));
        return record.epoch() == 0 ? next.withSettledVersion(splits.version(), splits.dataCentres()) : next;
    }

    /** Records that the slot has shrunk, and then, when all other data centres have too, that it may grow. */
    private void advanceVersions(SlotState state, SlotRecord record, ShareLender lender, long nowMillis, Outbox out) {
        long wanted = splits.slotVersion(state.slot());
        if (wanted > state.grownVersion()) {
            state.requestGrowth(wanted);
        }
        if (state.settleVersion() > record.settledVersion()) {
            if (splits.version() >= state.settleVersion() && lender.isSettled(state.slot(), nowMillis)) {
                state.otherRecords().clear();
                update(state, record.withSettledVersion(splits.version(), splits.dataCentres()), nowMillis, out);
            }
        } else if (wanted > state.grownVersion()) {
            advanceGrowth(state, record, nowMillis, out);
        }
    }

    /** The records of other data centres are read after the own one says settled, so that two cannot both grow. */
    private void advanceGrowth(SlotState state, SlotRecord record, long nowMillis, Outbox out) {
        boolean complete = true;
        Set<DataCentreId> dataCentres = new TreeSet<>(splits.dataCentres());
        dataCentres.addAll(record.dataCentres());
        for (DataCentreId dataCentre : dataCentres) {
            if (dataCentre.equals(view.self().dataCentre())) {
                continue;
            }
            Optional<SlotRecord> other =
                    Optional.ofNullable(state.otherRecords().get(dataCentre));
            if (other.filter(r -> permitsGrowth(r, state.wantedVersion())).isEmpty()) {
                complete = false;
                state.otherRecords().remove(dataCentre);
                read(state, dataCentre, out);
                sendSettleRequest(other, dataCentre, state, out);
            }
        }
        if (complete) {
            update(state, record.withGrownVersion(state.wantedVersion(), splits.dataCentres()), nowMillis, out);
        } else {
            state.delayUntil(nowMillis + backoff.delayMillis(Math.min(state.countFailure(), 5)));
        }
    }

    private void sendSettleRequest(Optional<SlotRecord> other, DataCentreId dataCentre, SlotState state, Outbox out) {
        other.filter(r -> r.settledVersion() < state.wantedVersion())
                .flatMap(SlotRecord::owner)
                .ifPresent(o -> out.add(
                        new Action.SendMessage(o, new SettleRequest(dataCentre, state.slot(), state.wantedVersion()))));
    }

    /** A record settled for a version that this VM does not know yet may have given room to somebody else. */
    private boolean permitsGrowth(SlotRecord other, long version) {
        return other.epoch() == 0 || (other.settledVersion() >= version && other.settledVersion() <= splits.version());
    }

    /** A VM that has just started takes itself for the only candidate, so the view must have been stable for a while. */
    private boolean isCandidate(int slot, long nowMillis) {
        boolean stable = nowMillis - viewMillis >= STABLE_VIEW_MILLIS;
        return stable && locator.isOwnCandidate(slot);
    }

    private boolean isVacant(SlotRecord record) {
        return record.owner()
                .map(o -> view.isConfirmedGone(o.vm(), o.incarnation())
                        || (o.vm().equals(view.self().vm())
                                && o.incarnation() < view.self().incarnation()))
                .orElse(true);
    }

    private void read(SlotState state, DataCentreId dataCentre, Outbox out) {
        out.add(new Action.ReadObject(
                registerCall(state, dataCentre, false), SlotUtils.path(dataCentre, state.slot())));
    }

    private void update(SlotState state, SlotRecord next, long nowMillis, Outbox out) {
        DataCentreId own = view.self().dataCentre();
        state.propose(next);
        state.delayUntil(nowMillis);
        out.add(new Action.UpdateObject(
                registerCall(state, own, true),
                SlotUtils.path(own, state.slot()),
                state.objectVersion(),
                next.encode()));
    }

    private long registerCall(SlotState state, DataCentreId dataCentre, boolean update) {
        long call = callNumbers.getAsLong();
        calls.put(call, new Call(state, dataCentre, update));
        state.callStarted();
        return call;
    }

    private void handleOwn(Call call, Either<PlatformFailure, StoredObject> result, long nowMillis) {
        SlotState state = call.state();
        if (result.isLeft()) {
            if (call.update()) {
                state.requireRead();
            }
            retryLater(state, result.getLeft(), nowMillis);
            return;
        }
        state.resetFailures();
        long version = result.get().version();
        Either<?, SlotRecord> record = call.update() && state.proposed().isPresent()
                ? Either.right(state.proposed().get())
                : SlotRecord.decode(result.get().path(), result.get().value());
        record.peek(r -> state.applyRecord(r, version, view.self(), nowMillis + longestLeaseMillis(), nowMillis))
                .peekLeft(f -> state.delayUntil(nowMillis + MAX_BACKOFF_MILLIS));
    }

    private long longestLeaseMillis() {
        return settings.lenderMillis(settings.maxLeaseMillis());
    }

    private void retryLater(SlotState state, PlatformFailure failure, long nowMillis) {
        long delay = backoff.delayMillis(state.countFailure());
        if (failure instanceof PlatformFailure.Throttled throttled) {
            delay = Math.max(delay, throttled.retryAfterMillis());
        }
        state.delayUntil(nowMillis + delay);
    }

    private record Call(SlotState state, DataCentreId dataCentre, boolean update) {}
}
