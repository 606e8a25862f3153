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

/** Holds shares for the callers of this VM and requests from lenders what their demand needs. */
final class ShareHolder implements RateLimiter {

    private static final long SCAN_INTERVAL_MILLIS = 250;
    private static final long ANSWER_TIMEOUT_MILLIS = HeldShare.ANSWER_TIMEOUT_MILLIS;
    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;
    private static final long MAX_REQUEST_INTERVAL_MILLIS = 320;

    /** Time without a statement after which a VM that releases its slots returns a share. */
    private static final long RELEASE_IDLE_MILLIS = 500;

    /** Duration of a shortage after which the next data centre is asked too. */
    private static final long ESCALATION_STEP_MILLIS = 30;

    /** Unanswered requests after which the known owner of a slot is forgotten. */
    private static final int MAX_UNANSWERED_REQUESTS = 3;

    /**
     * Demand above this multiple of the held rate, shortly after a refusal, marks an account as saturated: its
     * statements are refused without a wait and its lenders are asked less often.
     */
    private static final double SATURATION_FACTOR = 1.5;

    /** Period of demand for which tokens are requested in advance. */
    private static final double LOOKAHEAD_SECONDS = 0.1;

    private final MembershipView view;
    private final LimitSettings settings;
    private final SplitTable splits;
    private final SlotLocator locator;
    private final Map<ClientAccountId, AccountUsage> usages = new HashMap<>();
    private final Set<AccountUsage> accountsShortOfTokens = new LinkedHashSet<>();
    private final Map<Long, PendingRequest> pendingRequests = new LinkedHashMap<>();
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
        Optional<AccountUsage> usage = findOrCreateUsage(account, nowMillis);
        usage.ifPresent(u -> u.recordArrival(nowMillis));
        if (usage.filter(u -> tryTake(u, nowMillis)).isPresent()) {
            return Option.none();
        }
        return Option.some(refuse(account, usage, nowMillis));
    }

    @Override
    public Admission admit(ClientAccountId account, long firstAskedMillis, long nowMillis) {
        Optional<AccountUsage> usage = findOrCreateUsage(account, nowMillis);
        if (nowMillis == firstAskedMillis) {
            usage.ifPresent(u -> u.recordArrival(nowMillis));
        }
        if (usage.filter(u -> tryTake(u, nowMillis)).isPresent()) {
            return new Admission.Admitted();
        }
        long end = firstAskedMillis + settings.maxAdmissionWaitMillis();
        if (usage.isEmpty() || nowMillis >= end || isSaturated(usage.get(), nowMillis)) {
            return new Admission.Refused(refuse(account, usage, nowMillis));
        }
        recordShortage(usage.get(), nowMillis);
        return new Admission.Wait(Math.min(end, nowMillis + settings.requestIntervalMillis()));
    }

    /** Returns the number of client accounts in use on this VM. */
    int accountCount() {
        return usages.size();
    }

    /** Returns the share of a client account's rate and burst that this VM holds from all lenders together. */
    RateShare heldShare(ClientAccountId account, long nowMillis) {
        AccountUsage usage = usages.get(account);
        if (usage == null) {
            return RateShare.NONE;
        }
        return usage.shares().values().stream()
                .map(s -> s.currentShare(nowMillis))
                .reduce(RateShare.NONE, RateShare::plus);
    }

    void tick(long nowMillis, Outbox out) {
        Batches batches = new Batches();
        if (nowMillis >= nextScanMillis) {
            nextScanMillis = nowMillis + SCAN_INTERVAL_MILLIS;
            pendingRequests.values().removeIf(s -> nowMillis - s.sentMillis() > ANSWER_TIMEOUT_MILLIS);
            accountsShortOfTokens.removeIf(
                    u -> u.millisSinceShortage(nowMillis) > ANSWER_TIMEOUT_MILLIS && !u.isExhausted(nowMillis));
            usages.values().removeIf(u -> maintainAccount(u, batches, nowMillis));
        }
        for (AccountUsage usage : accountsShortOfTokens) {
            requestMore(usage, batches, nowMillis);
        }
        batches.send(nowMillis, out);
    }

    void handle(VmAddress from, ShareGrant grant, long nowMillis) {
        PendingRequest request = pendingRequests.remove(grant.sequence());
        if (request == null || nowMillis - request.sentMillis() > ANSWER_TIMEOUT_MILLIS) {
            return;
        }
        for (ShareLease lease : grant.leases()) {
            AccountUsage usage = usages.get(lease.account());
            if (usage != null) {
                usage.findOrCreateShare(grant.lender(), nowMillis)
                        .applyGrant(from, lease, request.sentMillis(), nowMillis);
                locator.recordOwner(grant.lender(), slotOf(lease.account()), from);
            }
        }
    }

    void handle(VmAddress from, ShareRecall recall, long nowMillis, Outbox out) {
        Batches batches = new Batches();
        for (ShareLease reduced : recall.reducedShares()) {
            AccountUsage usage = usages.get(reduced.account());
            if (usage != null
                    && usage.findOrCreateShare(recall.lender(), nowMillis).applyRecall(from, reduced, nowMillis)) {
                addReport(usage, recall.lender(), from, batches, nowMillis);
            }
        }
        batches.send(nowMillis, out);
    }

    void handle(SlotRedirect redirect) {
        locator.recordOwner(redirect.lender(), redirect.slot(), redirect.owner());
    }

    /** Returns to their lenders the shares of client accounts that had no statement recently. */
    void returnUnused(long nowMillis, Outbox out) {
        Batches batches = new Batches();
        usages.values()
                .removeIf(u -> u.idleMillis(nowMillis) >= RELEASE_IDLE_MILLIS && returnShares(u, batches, nowMillis));
        batches.send(nowMillis, out);
    }

    /**
     * Renews the shares of one client account and requests more if needed; returns true when the account is idle and
     * its shares have been returned.
     */
    private boolean maintainAccount(AccountUsage usage, Batches batches, long nowMillis) {
        if (usage.idleMillis(nowMillis) >= settings.idleTimeoutMillis()) {
            return returnShares(usage, batches, nowMillis);
        }
        if (usage.demand(nowMillis) > usage.heldRate(nowMillis)) {
            requestMore(usage, batches, nowMillis);
        }
        usage.shares().forEach((lender, share) -> {
            if (share.hasGrant()
                    && share.isRenewalDue(nowMillis)
                    && share.millisSinceRequest(nowMillis) >= ANSWER_TIMEOUT_MILLIS) {
                addReport(usage, lender, batches, nowMillis);
            }
        });
        return false;
    }

    /**
     * Requests more: at first from the local data centre and, while the shortage lasts, from the others one after
     * another.
     */
    private void requestMore(AccountUsage usage, Batches batches, long nowMillis) {
        long interval = requestIntervalMillis(usage, nowMillis);
        long escalationMillis = 0;
        for (DataCentreId lender : lendersInOrder(usage.account())) {
            HeldShare share = usage.findOrCreateShare(lender, nowMillis);
            boolean hasUsedBurst = share.isExhausted(nowMillis)
                    && share.millisSinceRequest(nowMillis) >= settings.requestIntervalMillis();
            boolean requestDue = share.millisSinceRequest(nowMillis) >= interval
                    && usage.shortageDurationMillis(nowMillis) >= escalationMillis;
            if (hasUsedBurst || requestDue) {
                addReport(usage, lender, batches, nowMillis);
            }
            escalationMillis += ESCALATION_STEP_MILLIS;
        }
        usage.clearShortageCount();
    }

    private List<DataCentreId> lendersInOrder(ClientAccountId account) {
        String own = view.self().dataCentre().value();
        List<DataCentreId> lenders = new ArrayList<>(
                splits.find(account).map(AccountSplit::dataCentres).orElse(List.of()));
        lenders.sort(Comparator.comparing((DataCentreId d) -> !d.value().equals(own))
                .thenComparing(RendezvousUtils.byScore(own, DataCentreId::value)));
        return lenders;
    }

    /**
     * Returns the interval between requests: short while statements wait, long when the account as a whole exceeds its
     * rate.
     */
    private long requestIntervalMillis(AccountUsage usage, long nowMillis) {
        boolean overRate = usage.millisSinceRefusal(nowMillis) < MAX_RETRY_AFTER_MILLIS
                && usage.demand(nowMillis) > SATURATION_FACTOR * usage.heldRate(nowMillis);
        return overRate || usage.shortageCount() == 0 ? MAX_REQUEST_INTERVAL_MILLIS : settings.requestIntervalMillis();
    }

    private void addReport(AccountUsage usage, DataCentreId lender, Batches batches, long nowMillis) {
        int slot = slotOf(usage.account());
        if (usage.findOrCreateShare(lender, nowMillis).unansweredRequests() > MAX_UNANSWERED_REQUESTS) {
            locator.forgetOwner(lender, slot);
        }
        locator.find(lender, slot).ifPresent(to -> addReport(usage, lender, to, batches, nowMillis));
    }

    private void addReport(AccountUsage usage, DataCentreId lender, VmAddress to, Batches batches, long nowMillis) {
        HeldShare share = usage.findOrCreateShare(lender, nowMillis);
        double demand = usage.demand(nowMillis);
        double rateHeldElsewhere = usage.heldRate(nowMillis) - share.rate(nowMillis);
        boolean isLocal = lender.equals(view.self().dataCentre());
        double perSecond = isLocal ? demand : Math.max(0, demand - rateHeldElsewhere);
        double lookaheadTokens = share.rate(nowMillis) > 0 ? demand * LOOKAHEAD_SECONDS : 0;
        double missingTokens = Math.max(0, usage.shortageCount() + lookaheadTokens - usage.tokens(nowMillis));
        ShareReport report = share.prepareReport(
                usage.account(),
                to,
                new HeldShare.Demand(Math.max(perSecond, usage.shortageCount()), missingTokens),
                nowMillis);
        batches.add(to, lender, report);
    }

    private boolean returnShares(AccountUsage usage, Batches batches, long nowMillis) {
        accountsShortOfTokens.remove(usage);
        surrenderShares(usage, batches, nowMillis);
        return true;
    }

    private void surrenderShares(AccountUsage usage, Batches batches, long nowMillis) {
        usage.shares().forEach((lender, share) -> {
            if (share.isValid(nowMillis)) {
                share.surrender(nowMillis);
                locator.find(lender, slotOf(usage.account()))
                        .ifPresent(to -> batches.add(
                                to,
                                lender,
                                share.prepareReport(usage.account(), to, new HeldShare.Demand(0, 0), nowMillis)));
            }
        });
    }

    private boolean tryTake(AccountUsage usage, long nowMillis) {
        boolean taken = usage.tryTake(nowMillis);
        if (taken && usage.isExhausted(nowMillis)) {
            accountsShortOfTokens.add(usage);
        }
        return taken;
    }

    private Optional<AccountUsage> findOrCreateUsage(ClientAccountId account, long nowMillis) {
        AccountUsage known = usages.get(account);
        if (known != null) {
            return Optional.of(known);
        }
        if (splits.find(account).isEmpty()) {
            return Optional.empty();
        }
        AccountUsage usage = new AccountUsage(account, nowMillis);
        usages.put(account, usage);
        return Optional.of(usage);
    }

    private void recordShortage(AccountUsage usage, long nowMillis) {
        usage.recordShortage(nowMillis);
        accountsShortOfTokens.add(usage);
    }

    private boolean isSaturated(AccountUsage usage, long nowMillis) {
        double held = usage.heldRate(nowMillis);
        return held > 0
                && usage.demand(nowMillis) > SATURATION_FACTOR * held
                && usage.millisSinceRefusal(nowMillis) < MAX_RETRY_AFTER_MILLIS;
    }

    private Refusal refuse(ClientAccountId account, Optional<AccountUsage> usage, long nowMillis) {
        usage.ifPresent(u -> {
            u.recordRefusal(nowMillis);
            recordShortage(u, nowMillis);
        });
        long retryAfterMillis = usage.map(u -> u.millisUntilToken(nowMillis, MAX_RETRY_AFTER_MILLIS))
                .orElse(MAX_RETRY_AFTER_MILLIS);
        return new Refusal.RateExceeded(account, retryAfterMillis);
    }

    private int slotOf(ClientAccountId account) {
        return SlotUtils.slotOf(account, settings.slots());
    }

    private record PendingRequest(long sentMillis) {}

    private record Target(VmAddress to, DataCentreId lender) {}

    /** Batches the reports to each lender. */
    private final class Batches {

        private final Map<Target, List<ShareReport>> reports = new LinkedHashMap<>();

        void add(VmAddress to, DataCentreId lender, ShareReport report) {
            reports.computeIfAbsent(new Target(to, lender), t -> new ArrayList<>())
                    .add(report);
        }

        void send(long nowMillis, Outbox out) {
            reports.forEach((target, list) -> {
                for (int i = 0; i < list.size(); i += settings.maxAccountsPerMessage()) {
                    List<ShareReport> part =
                            list.subList(i, Math.min(list.size(), i + settings.maxAccountsPerMessage()));
                    sequence++;
                    pendingRequests.put(sequence, new PendingRequest(nowMillis));
                    out.add(new Action.SendMessage(target.to(), new ShareRequest(sequence, target.lender(), part)));
                }
            });
        }
    }
}
