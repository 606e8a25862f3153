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
    private final Map<ClientAccountId, AccountLedger> accounts = new HashMap<>();
    private final Map<VmId, Sender> senders = new HashMap<>();
    private long configuredMillis;
    private long grants;
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

    /** Client accounts with a ledger. */
    int accountCount() {
        return accounts.size();
    }

    void configure(Set<ClientAccountId> moved, long nowMillis) {
        configuredMillis = nowMillis;
        for (AccountLedger account : accounts.values()) {
            Optional<AccountSplit> split = splits.find(account.account());
            account.updatePart(partOf(split), account.isGrown() && !moved.contains(account.account()), nowMillis);
        }
    }

    void tick(long nowMillis, Outbox out) {
        if (nowMillis < nextSweepMillis) {
            return;
        }
        nextSweepMillis = nowMillis + SWEEP_INTERVAL_MILLIS;
        accounts.values().removeIf(a -> !ownership.owns(slotOf(a)) || a.isIdle(nowMillis));
        Map<VmAddress, List<ShareLease>> cuts = new LinkedHashMap<>();
        for (AccountLedger account : accounts.values()) {
            account.removeHolders(h -> view.isConfirmedGone(h.vm(), h.incarnation()), nowMillis);
            growIfAllowed(account, nowMillis);
            collectRecalls(account, nowMillis, cuts);
        }
        sendRecalls(cuts, out);
    }

    /** Whether all shares of a slot are within the splits in force. */
    boolean isSettled(int slot, long nowMillis) {
        return nowMillis >= ownership.adoptUntilMillis(slot)
                && accounts.values().stream().filter(a -> slotOf(a) == slot).allMatch(a -> a.isSettled(nowMillis));
    }

    void handle(VmAddress from, ShareRequest request, long nowMillis, Outbox out) {
        if (!isNew(from, request.sequence())) {
            return;
        }
        List<ShareLease> leases = new ArrayList<>();
        Map<VmAddress, List<ShareLease>> cuts = new LinkedHashMap<>();
        for (ShareReport demand : request.demands()) {
            int slot = SlotUtils.slotOf(demand.account(), settings.slots());
            if (!ownership.owns(slot)) {
                redirect(from, slot, nowMillis, out);
            } else if (splits.version() >= ownership.requiredVersion(slot)) {
                AccountLedger account = findOrCreateLedger(demand.account(), slot, nowMillis);
                leases.add(account.lend(from, demand, nowMillis));
                collectRecalls(account, nowMillis, cuts);
            }
        }
        if (!leases.isEmpty()) {
            out.add(new Action.SendMessage(from, new ShareGrant(request.sequence(), request.lender(), leases)));
        }
        sendRecalls(cuts, out);
    }

    /** A request that is not newer than the last one of its sender is a duplicate or came late. */
    private boolean isNew(VmAddress from, long sequence) {
        Sender last = senders.get(from.vm());
        boolean isNew = last == null
                || from.incarnation() > last.incarnation()
                || (from.incarnation() == last.incarnation() && sequence > last.sequence());
        if (isNew) {
            senders.put(from.vm(), new Sender(from.incarnation(), sequence));
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
        AccountLedger account = accounts.get(id);
        if (account == null) {
            long adoptUntil = ownership.adoptUntilMillis(slot);
            account = new AccountLedger(id, ownership.epoch(slot), settings, () -> ++grants, adoptUntil, nowMillis);
            Optional<AccountSplit> split = splits.find(id);
            boolean grown = split.map(AccountSplit::version).orElse(0L) <= ownership.grownVersion(slot);
            account.updatePart(partOf(split), grown, nowMillis);
            account.accrue(nowMillis - Math.max(ownership.grownSinceMillis(slot), configuredMillis), nowMillis);
            accounts.put(id, account);
        }
        growIfAllowed(account, nowMillis);
        return account;
    }

    private void growIfAllowed(AccountLedger account, long nowMillis) {
        if (account.isGrown()) {
            return;
        }
        long version = splits.find(account.account()).map(AccountSplit::version).orElse(0L);
        if (version <= ownership.grownVersion(slotOf(account))) {
            account.grow(nowMillis);
        }
    }

    private void collectRecalls(AccountLedger account, long nowMillis, Map<VmAddress, List<ShareLease>> cuts) {
        for (AccountLedger.Recall recall : account.issueRecalls(nowMillis)) {
            cuts.computeIfAbsent(recall.holder(), h -> new ArrayList<>()).add(recall.cut());
        }
    }

    private void sendRecalls(Map<VmAddress, List<ShareLease>> cuts, Outbox out) {
        cuts.forEach(
                (holder, leases) -> out.add(new Action.SendMessage(holder, new ShareRecall(dataCentre(), leases))));
    }

    private RateShare partOf(Optional<AccountSplit> split) {
        return split.map(s -> s.part(dataCentre())).orElse(RateShare.NONE);
    }

    private int slotOf(AccountLedger account) {
        return SlotUtils.slotOf(account.account(), settings.slots());
    }

    private DataCentreId dataCentre() {
        return view.self().dataCentre();
    }

    private record Sender(long incarnation, long sequence) {}
}
