package org.hyssopswitch.core.limit;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.membership.MembershipView;
import org.hyssopswitch.core.placement.RendezvousUtils;

/** Holds shares for the callers of this VM, and asks lenders for what their demand needs. */
final class ShareHolder implements RateLimiter {

    private static final long SCAN_INTERVAL_MILLIS = 250;
    private static final long ANSWER_MILLIS = HeldShare.ANSWER_MILLIS;
    private static final long MAX_RETRY_MILLIS = 1_000;
    private static final long MAX_PRESSURE_INTERVAL_MILLIS = 320;
    private static final long UNUSED_MILLIS = 500;
    private static final long ESCALATION_MILLIS = 30;
    private static final int MAX_UNANSWERED = 3;
    private static final double SATURATED_ABOVE = 1.5;
    private static final double LOOKAHEAD_SECONDS = 0.1;

    private final MembershipView view;
    private final LimitSettings settings;
    private final SplitTable splits;
    private final SlotLocator locator;
    private final Map<ClientAccountId, AccountUsage> consumers = new HashMap<>();
    private final Set<AccountUsage> pressed = new LinkedHashSet<>();
    private final Map<Long, Sent> sent = new LinkedHashMap<>();
    private long sequence;
    private long nextScanMillis;

    ShareHolder(MembershipView view, LimitSettings settings, SplitTable splits, SlotLocator locator) {
        this.splits = splits;
        this.view = view;
        this.settings = settings;
        this.locator = locator;
    }

    @Override
    public Option<Refusal> tryAcquire(ClientAccountId account, long nowMillis) {
        Optional<AccountUsage> consumer = findOrCreateUsage(account, nowMillis);
        consumer.ifPresent(c -> c.recordArrival(nowMillis));
        if (consumer.filter(c -> tryTake(c, nowMillis)).isPresent()) {
            return Option.none();
        }
        return Option.some(refuse(account, consumer, nowMillis));
    }

    @Override
    public Admission admit(ClientAccountId account, long firstAskedMillis, long nowMillis) {
        Optional<AccountUsage> consumer = findOrCreateUsage(account, nowMillis);
        if (nowMillis == firstAskedMillis) {
            consumer.ifPresent(c -> c.recordArrival(nowMillis));
        }
        if (consumer.filter(c -> tryTake(c, nowMillis)).isPresent()) {
            return new Admission.Admitted();
        }
        long end = firstAskedMillis + settings.admissionWaitMillis();
        if (consumer.isEmpty() || nowMillis >= end || isSaturated(consumer.get(), nowMillis)) {
            return new Admission.Refused(refuse(account, consumer, nowMillis));
        }
        recordShortage(consumer.get(), nowMillis);
        return new Admission.Wait(Math.min(end, nowMillis + settings.pressureIntervalMillis()));
    }

    /** Client accounts in use on this VM. */
    int accountCount() {
        return consumers.size();
    }

    /** What this VM holds of a client account's rate and burst. */
    RateShare heldShare(ClientAccountId account, long nowMillis) {
        AccountUsage consumer = consumers.get(account);
        if (consumer == null) {
            return RateShare.NONE;
        }
        return consumer.shares().values().stream()
                .map(s -> s.currentShare(nowMillis))
                .reduce(RateShare.NONE, RateShare::plus);
    }

    void tick(long nowMillis, Outbox out) {
        Batches batches = new Batches();
        if (nowMillis >= nextScanMillis) {
            nextScanMillis = nowMillis + SCAN_INTERVAL_MILLIS;
            sent.values().removeIf(s -> nowMillis - s.atMillis() > ANSWER_MILLIS);
            pressed.removeIf(c -> c.millisSinceShortage(nowMillis) > ANSWER_MILLIS && !c.isExhausted(nowMillis));
            consumers.values().removeIf(c -> maintainAccount(c, batches, nowMillis));
        }
        for (AccountUsage consumer : pressed) {
            requestMore(consumer, batches, nowMillis);
        }
        batches.send(nowMillis, out);
    }

    void handle(VmAddress from, ShareGrant grant, long nowMillis) {
        Sent request = sent.remove(grant.sequence());
        if (request == null || nowMillis - request.atMillis() > ANSWER_MILLIS) {
            return;
        }
        for (ShareLease lease : grant.leases()) {
            AccountUsage consumer = consumers.get(lease.account());
            if (consumer != null) {
                consumer.findOrCreateShare(grant.lender(), nowMillis)
                        .applyGrant(from, lease, request.atMillis(), nowMillis);
                locator.recordOwner(grant.lender(), slotOf(lease.account()), from);
            }
        }
    }

    void handle(VmAddress from, ShareRecall recall, long nowMillis, Outbox out) {
        Batches batches = new Batches();
        for (ShareLease cut : recall.cuts()) {
            AccountUsage consumer = consumers.get(cut.account());
            if (consumer != null
                    && consumer.findOrCreateShare(recall.lender(), nowMillis).applyRecall(from, cut, nowMillis)) {
                addReport(consumer, recall.lender(), from, batches, nowMillis);
            }
        }
        batches.send(nowMillis, out);
    }

    void handle(SlotRedirect redirect) {
        locator.recordOwner(redirect.lender(), redirect.slot(), redirect.owner());
    }

    /** Returns the shares of client accounts without a statement of late. */
    void returnUnused(long nowMillis, Outbox out) {
        Batches batches = new Batches();
        consumers
                .values()
                .removeIf(c -> c.idleMillis(nowMillis) >= UNUSED_MILLIS && returnShares(c, batches, nowMillis));
        batches.send(nowMillis, out);
    }

    /** Looks after one client account; true when it is idle and its shares have been returned. */
    private boolean maintainAccount(AccountUsage consumer, Batches batches, long nowMillis) {
        if (consumer.idleMillis(nowMillis) >= settings.idleMillis()) {
            return returnShares(consumer, batches, nowMillis);
        }
        if (consumer.demand(nowMillis) > consumer.heldRate(nowMillis)) {
            requestMore(consumer, batches, nowMillis);
        }
        consumer.shares().forEach((lender, share) -> {
            if (share.hasGrant()
                    && share.isRenewalDue(nowMillis)
                    && share.millisSinceRequest(nowMillis) >= ANSWER_MILLIS) {
                addReport(consumer, lender, batches, nowMillis);
            }
        });
        return false;
    }

    /** Asks for more: first the own data centre and, while its share is not enough, one after the other of the rest. */
    private void requestMore(AccountUsage consumer, Batches batches, long nowMillis) {
        long interval = requestIntervalMillis(consumer, nowMillis);
        long step = 0;
        for (DataCentreId lender : lendersInOrder(consumer.account())) {
            HeldShare share = consumer.findOrCreateShare(lender, nowMillis);
            boolean release = share.isExhausted(nowMillis)
                    && share.millisSinceRequest(nowMillis) >= settings.pressureIntervalMillis();
            boolean ask = share.millisSinceRequest(nowMillis) >= interval
                    && consumer.shortageDurationMillis(nowMillis) >= step;
            if (release || ask) {
                addReport(consumer, lender, batches, nowMillis);
            }
            step += ESCALATION_MILLIS;
        }
        consumer.clearShortageCount();
    }

    private List<DataCentreId> lendersInOrder(ClientAccountId account) {
        String own = view.self().dataCentre().value();
        List<DataCentreId> lenders = new ArrayList<>(
                splits.find(account).map(AccountSplit::dataCentres).orElse(List.of()));
        lenders.sort(Comparator.comparing((DataCentreId d) -> !d.value().equals(own))
                .thenComparing(RendezvousUtils.byScore(own, DataCentreId::value)));
        return lenders;
    }

    /** Asks often while statements wait, and seldom when the account as a whole is beyond its rate. */
    private long requestIntervalMillis(AccountUsage consumer, long nowMillis) {
        boolean over = consumer.millisSinceRefusal(nowMillis) < MAX_RETRY_MILLIS
                && consumer.demand(nowMillis) > SATURATED_ABOVE * consumer.heldRate(nowMillis);
        return over || consumer.shortageCount() == 0 ? MAX_PRESSURE_INTERVAL_MILLIS : settings.pressureIntervalMillis();
    }

    private void addReport(AccountUsage consumer, DataCentreId lender, Batches batches, long nowMillis) {
        int slot = slotOf(consumer.account());
        if (consumer.findOrCreateShare(lender, nowMillis).unansweredRequests() > MAX_UNANSWERED) {
            locator.forgetOwner(lender, slot);
        }
        locator.find(lender, slot).ifPresent(to -> addReport(consumer, lender, to, batches, nowMillis));
    }

    private void addReport(AccountUsage consumer, DataCentreId lender, VmAddress to, Batches batches, long nowMillis) {
        HeldShare share = consumer.findOrCreateShare(lender, nowMillis);
        double demand = consumer.demand(nowMillis);
        double others = consumer.heldRate(nowMillis) - share.rate(nowMillis);
        boolean own = lender.equals(view.self().dataCentre());
        double perSecond = own ? demand : Math.max(0, demand - others);
        double ahead = share.rate(nowMillis) > 0 ? demand * LOOKAHEAD_SECONDS : 0;
        double tokens = Math.max(0, consumer.shortageCount() + ahead - consumer.tokens(nowMillis));
        ShareReport report = share.prepareReport(
                consumer.account(),
                to,
                new HeldShare.Need(Math.max(perSecond, consumer.shortageCount()), tokens),
                nowMillis);
        batches.add(to, lender, report);
    }

    private boolean returnShares(AccountUsage consumer, Batches batches, long nowMillis) {
        pressed.remove(consumer);
        surrenderShares(consumer, batches, nowMillis);
        return true;
    }

    private void surrenderShares(AccountUsage consumer, Batches batches, long nowMillis) {
        consumer.shares().forEach((lender, share) -> {
            if (share.isValid(nowMillis)) {
                share.surrender(nowMillis);
                locator.find(lender, slotOf(consumer.account()))
                        .ifPresent(to -> batches.add(
                                to,
                                lender,
                                share.prepareReport(consumer.account(), to, new HeldShare.Need(0, 0), nowMillis)));
            }
        });
    }

    private boolean tryTake(AccountUsage consumer, long nowMillis) {
        boolean taken = consumer.tryTake(nowMillis);
        if (taken && consumer.isExhausted(nowMillis)) {
            pressed.add(consumer);
        }
        return taken;
    }

    private Optional<AccountUsage> findOrCreateUsage(ClientAccountId account, long nowMillis) {
        AccountUsage known = consumers.get(account);
        if (known != null) {
            return Optional.of(known);
        }
        if (splits.find(account).isEmpty()) {
            return Optional.empty();
        }
        AccountUsage consumer = new AccountUsage(account, nowMillis);
        consumers.put(account, consumer);
        return Optional.of(consumer);
    }

    private void recordShortage(AccountUsage consumer, long nowMillis) {
        consumer.recordShortage(nowMillis);
        pressed.add(consumer);
    }

    private boolean isSaturated(AccountUsage consumer, long nowMillis) {
        double held = consumer.heldRate(nowMillis);
        return held > 0
                && consumer.demand(nowMillis) > SATURATED_ABOVE * held
                && consumer.millisSinceRefusal(nowMillis) < MAX_RETRY_MILLIS;
    }

    private Refusal refuse(ClientAccountId account, Optional<AccountUsage> consumer, long nowMillis) {
        consumer.ifPresent(c -> {
            c.recordRefusal(nowMillis);
            recordShortage(c, nowMillis);
        });
        long retry = consumer.map(c -> c.millisUntilToken(nowMillis, MAX_RETRY_MILLIS))
                .orElse(MAX_RETRY_MILLIS);
        return new Refusal.RateExceeded(account, retry);
    }

    private int slotOf(ClientAccountId account) {
        return SlotUtils.slotOf(account, settings.slots());
    }

    private record Sent(long atMillis) {}

    private record Target(VmAddress to, DataCentreId lender) {}

    /** Collects reports into one message for each lender. */
    private final class Batches {

        private final Map<Target, List<ShareReport>> reports = new LinkedHashMap<>();

        void add(VmAddress to, DataCentreId lender, ShareReport report) {
            reports.computeIfAbsent(new Target(to, lender), t -> new ArrayList<>())
                    .add(report);
        }

        void send(long nowMillis, Outbox out) {
            reports.forEach((target, list) -> {
                for (int i = 0; i < list.size(); i += settings.maxItems()) {
                    List<ShareReport> part = list.subList(i, Math.min(list.size(), i + settings.maxItems()));
                    sequence++;
                    sent.put(sequence, new Sent(nowMillis));
                    out.add(new Action.SendMessage(target.to(), new ShareRequest(sequence, target.lender(), part)));
                }
            });
        }
    }
}
