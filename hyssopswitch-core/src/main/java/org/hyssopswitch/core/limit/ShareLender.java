package org.hyssopswitch.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.membership.MembershipView;

/** Lends the rates of the client accounts whose slots this VM owns. */
final class ShareLender {

    private static final long SWEEP_INTERVAL_MILLIS = 1_000;

    private final MembershipView view;
    private final LimitSettings settings;
    private final SplitTable splits;
    private final SlotOwnership ownership;
    private final SlotLocator locator;
    private final Map<ClientAccountId, AccountLedger> ledgers = new HashMap<>();
    private final Map<VmId, LastRequest> lastRequests = new HashMap<>();
    private long configuredMillis;
    private long lastGrantNumber;
    private long nextSweepMillis;

    ShareLender(
            MembershipView view,
            LimitSettings settings,
            SplitTable splits,
            SlotOwnership ownership,
            SlotLocator locator) {
        this.splits = splits;
        this.view = view;
        this.settings = settings;
        this.ownership = ownership;
        this.locator = locator;
    }

    /** Returns the number of client accounts that have a ledger. */
    int accountCount() {
        return ledgers.size();
    }

    void configure(Set<ClientAccountId> movedAccounts, long nowMillis) {
        configuredMillis = nowMillis;
        for (AccountLedger ledger : ledgers.values()) {
            Optional<AccountSplit> split = splits.find(ledger.account());
            ledger.updatePart(partOf(split), ledger.isGrown() && !movedAccounts.contains(ledger.account()), nowMillis);
        }
    }

    void tick(long nowMillis, Outbox out) {
        if (nowMillis < nextSweepMillis) {
            return;
        }
        nextSweepMillis = nowMillis + SWEEP_INTERVAL_MILLIS;
        ledgers.values().removeIf(l -> !ownership.owns(slotOf(l)) || l.isIdle(nowMillis));
        Map<VmAddress, List<ShareLease>> recallsByHolder = new LinkedHashMap<>();
        for (AccountLedger ledger : ledgers.values()) {
            ledger.removeHolders(h -> view.isConfirmedGone(h.vm(), h.incarnation()), nowMillis);
            growIfAllowed(ledger, nowMillis);
            collectRecalls(ledger, nowMillis, recallsByHolder);
        }
        sendRecalls(recallsByHolder, out);
    }

    /** Whether all outstanding shares of a slot fit the splits in force. */
    boolean isSettled(int slot, long nowMillis) {
        return nowMillis >= ownership.adoptUntilMillis(slot)
                && ledgers.values().stream().filter(l -> slotOf(l) == slot).allMatch(l -> l.isSettled(nowMillis));
    }

    void handle(VmAddress from, ShareRequest request, long nowMillis, Outbox out) {
        if (!isNew(from, request.sequence())) {
            return;
        }
        List<ShareLease> leases = new ArrayList<>();
        Map<VmAddress, List<ShareLease>> recallsByHolder = new LinkedHashMap<>();
        for (ShareReport report : request.reports()) {
            int slot = SlotUtils.slotOf(report.account(), settings.slots());
            if (!ownership.owns(slot)) {
                redirect(from, slot, nowMillis, out);
            } else if (splits.version() >= ownership.requiredVersion(slot)) {
                AccountLedger ledger = findOrCreateLedger(report.account(), slot, nowMillis);
                leases.add(ledger.lend(from, report, nowMillis));
                collectRecalls(ledger, nowMillis, recallsByHolder);
            }
        }
        if (!leases.isEmpty()) {
            out.add(new Action.SendMessage(from, new ShareGrant(request.sequence(), request.lender(), leases)));
        }
        sendRecalls(recallsByHolder, out);
    }

    /**
     * Whether a request is newer than the last one of its sender; otherwise it is a duplicate or arrived out of order.
     */
    private boolean isNew(VmAddress from, long sequence) {
        LastRequest last = lastRequests.get(from.vm());
        boolean isNew = last == null
                || from.incarnation() > last.incarnation()
                || (from.incarnation() == last.incarnation() && sequence > last.sequence());
        if (isNew) {
            lastRequests.put(from.vm(), new LastRequest(from.incarnation(), sequence));
        }
        return isNew;
    }

    private void redirect(VmAddress from, int slot, long nowMillis, Outbox out) {
        ownership.recordMisdirectedRequest(slot, nowMillis);
        Optional<VmAddress> owner = ownership.knownOwner(slot).or(() -> locator.candidate(dataCentre(), slot));
        owner.filter(o -> !o.vm().equals(view.self().vm()))
                .ifPresent(o -> out.add(new Action.SendMessage(from, new SlotRedirect(dataCentre(), slot, o))));
    }

    private AccountLedger findOrCreateLedger(ClientAccountId id, int slot, long nowMillis) {
        AccountLedger ledger = ledgers.get(id);
        if (ledger == null) {
            long adoptUntil = ownership.adoptUntilMillis(slot);
            ledger = new AccountLedger(
                    id, ownership.epoch(slot), settings, () -> ++lastGrantNumber, adoptUntil, nowMillis);
            Optional<AccountSplit> split = splits.find(id);
            boolean grown = split.map(AccountSplit::version).orElse(0L) <= ownership.grownVersion(slot);
            ledger.updatePart(partOf(split), grown, nowMillis);
            ledger.accrue(nowMillis - Math.max(ownership.grownSinceMillis(slot), configuredMillis), nowMillis);
            ledgers.put(id, ledger);
        }
        growIfAllowed(ledger, nowMillis);
        return ledger;
    }

    private void growIfAllowed(AccountLedger ledger, long nowMillis) {
        if (ledger.isGrown()) {
            return;
        }
        long version = splits.find(ledger.account()).map(AccountSplit::version).orElse(0L);
        if (version <= ownership.grownVersion(slotOf(ledger))) {
            ledger.grow(nowMillis);
        }
    }

    private void collectRecalls(
            AccountLedger ledger, long nowMillis, Map<VmAddress, List<ShareLease>> recallsByHolder) {
        for (AccountLedger.Recall recall : ledger.issueRecalls(nowMillis)) {
            recallsByHolder
                    .computeIfAbsent(recall.holder(), h -> new ArrayList<>())
                    .add(recall.reducedShare());
        }
    }

    private void sendRecalls(Map<VmAddress, List<ShareLease>> recallsByHolder, Outbox out) {
        recallsByHolder.forEach(
                (holder, leases) -> out.add(new Action.SendMessage(holder, new ShareRecall(dataCentre(), leases))));
    }

    private RateShare partOf(Optional<AccountSplit> split) {
        return split.map(s -> s.part(dataCentre())).orElse(RateShare.NONE);
    }

    private int slotOf(AccountLedger ledger) {
        return SlotUtils.slotOf(ledger.account(), settings.slots());
    }

    private DataCentreId dataCentre() {
        return view.self().dataCentre();
    }

    private record LastRequest(long incarnation, long sequence) {}
}
