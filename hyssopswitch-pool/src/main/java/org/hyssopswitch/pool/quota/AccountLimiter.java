package org.hyssopswitch.pool.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.placement.RendezvousUtils;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.TokenRequest;
import org.hyssopswitch.pool.peer.TokenTransfer;

/**
 * Admits operations of client accounts within this VM's share of their rates, and transfers unused tokens to VMs that
 * request them.
 *
 * <p>For each account a few VMs, chosen by rendezvous hashing, hold equal shares that add up to the declared rate and
 * burst; in a small fleet all VMs do. The others hold no share and request tokens from those VMs. Tokens are withdrawn
 * before the transfer is sent, so a lost message loses its tokens, and no failure of messages or VMs lets an account
 * exceed its limit.
 */
public final class AccountLimiter {

    /** Interval between token requests, milliseconds; covers a fraction of a second's rate. */
    private static final long TOKEN_REQUEST_PERIOD_MILLIS = 100;

    /**
     * Interval between token requests in a fleet where only some VMs share a rate, milliseconds; operations that
     * wait for tokens trigger a request at once.
     */
    private static final long LARGE_FLEET_TOKEN_REQUEST_PERIOD_MILLIS = 500;

    /** Minimum interval between token requests for waiting operations, milliseconds. */
    private static final long MIN_URGENT_REQUEST_PERIOD_MILLIS = 15;

    /** Maximum number of VMs that share one account's rate; bounds messages and rounding in a fleet of any size. */
    private static final int MAX_SHARING_VMS = 8;

    /** Tokens requested in total, as a multiple of the shortfall: most VMs have few unused tokens. */
    private static final double REQUEST_FACTOR = 2;

    private final LongSupplier clock;
    private final Map<String, AccountShare> shares = new HashMap<>();
    private PeerLinks peers;
    private boolean largeFleet;
    private long lastRequestMillis;
    private long lastUrgentRequestMillis;

    /**
     * Creates a limiter without accounts.
     *
     * @param peers links to the other VMs
     * @param clock milliseconds of the monotonic clock
     */
    public AccountLimiter(PeerLinks peers, LongSupplier clock) {
        this.peers = peers;
        this.clock = clock;
        this.lastRequestMillis = clock.getAsLong();
        this.lastUrgentRequestMillis = lastRequestMillis;
    }

    /**
     * Applies the limits of a configuration.
     *
     * @param catalog the configuration
     * @param self name of this VM
     * @param vms names of all VMs, this one included
     */
    public void update(Catalog catalog, String self, Collection<String> vms) {
        long now = clock.getAsLong();
        largeFleet = vms.size() > MAX_SHARING_VMS;
        Map<String, Rate> limits = new HashMap<>();
        catalog.accounts().values().forEach(account -> account.limit()
                .forEach(rate -> limits.put(account.name(), rate)));
        shares.keySet().retainAll(limits.keySet());
        limits.forEach((name, rate) -> {
            List<String> sharing = vms.stream()
                    .sorted(RendezvousUtils.byScore(name, vm -> vm))
                    .limit(MAX_SHARING_VMS)
                    .toList();
            int sharingVms = sharing.contains(self) ? sharing.size() : 0;
            List<String> otherSharingVms =
                    sharing.stream().filter(vm -> !vm.equals(self)).toList();
            shares.computeIfAbsent(name, key -> new AccountShare((int) RendezvousUtils.score(name, self), now))
                    .resize(rate, sharingVms, otherSharingVms, now);
        });
    }

    /**
     * Sets the links over which tokens are exchanged.
     *
     * @param links links to the other VMs
     */
    public void connect(PeerLinks links) {
        peers = links;
    }

    /**
     * Admits an operation now, or after a short wait if a token is likely to become available within it.
     *
     * @param account the client account
     * @param maxWaitMillis longest wait, milliseconds
     * @param listener notified of the decision, possibly before this call returns
     */
    public void admit(Account account, long maxWaitMillis, AdmissionListener listener) {
        AccountShare share = shares.get(account.name());
        long now = clock.getAsLong();
        if (share == null || share.tryTake(now)) {
            listener.admitted();
            return;
        }
        share.enqueueOrRefuse(listener, now, maxWaitMillis);
        requestTokensForWaiting(now);
    }

    /** Admits or refuses waiting operations and requests missing tokens; called every few milliseconds. */
    public void tick() {
        long now = clock.getAsLong();
        shares.values().forEach(share -> share.processWaiting(now));
        if (now - lastRequestMillis
                >= (largeFleet ? LARGE_FLEET_TOKEN_REQUEST_PERIOD_MILLIS : TOKEN_REQUEST_PERIOD_MILLIS)) {
            lastRequestMillis = now;
            requestTokens(shares, now);
        } else {
            requestTokensForWaiting(now);
        }
    }

    /**
     * Transfers tokens that this VM will not need soon to another VM.
     *
     * @param vm name of the VM
     * @param request the tokens that it requests
     */
    public void tokenRequestReceived(String vm, TokenRequest request) {
        long now = clock.getAsLong();
        Map<String, Double> tokens = new HashMap<>();
        request.wanted().forEach((name, requested) -> {
            AccountShare share = shares.get(name);
            double withdrawn = share == null ? 0 : share.withdrawUnused(requested, now);
            if (withdrawn > 0) {
                tokens.put(name, withdrawn);
            }
        });
        if (!tokens.isEmpty()) {
            peers.send(vm, new TokenTransfer(tokens));
        }
    }

    /**
     * Deposits tokens that another VM transferred.
     *
     * @param transfer the tokens
     */
    public void tokenTransferReceived(TokenTransfer transfer) {
        long now = clock.getAsLong();
        transfer.tokens().forEach((name, tokens) -> {
            AccountShare share = shares.get(name);
            if (share != null) {
                share.deposit(tokens, now);
            }
        });
    }

    /** Requests tokens for the accounts whose operations wait. */
    private void requestTokensForWaiting(long now) {
        if (now - lastUrgentRequestMillis < MIN_URGENT_REQUEST_PERIOD_MILLIS) {
            return;
        }
        Map<String, AccountShare> waiting = new HashMap<>();
        shares.forEach((name, share) -> {
            if (share.hasWaiting()) {
                waiting.put(name, share);
            }
        });
        if (!waiting.isEmpty()) {
            lastUrgentRequestMillis = now;
            requestTokens(waiting, now);
        }
    }

    /** Requests tokens from all VMs that share an account's rate, or in a large fleet from one of them, in rotation. */
    private void requestTokens(Map<String, AccountShare> forShares, long now) {
        Map<String, Map<String, Double>> requested = new HashMap<>();
        forShares.forEach((name, share) -> {
            double missing = share.missingTokens(now);
            if (missing > 0) {
                List<String> targets = largeFleet ? share.nextSharingVm().toJavaList() : share.otherSharingVms();
                double tokensPerVm = missing * Math.min(targets.size(), REQUEST_FACTOR) / Math.max(1, targets.size());
                targets.forEach(vm ->
                        requested.computeIfAbsent(vm, key -> new HashMap<>()).put(name, tokensPerVm));
            }
        });
        requested.forEach((vm, byAccount) -> peers.send(vm, new TokenRequest(byAccount)));
    }

    /** Receives the decision on one operation. */
    public interface AdmissionListener {

        /** The operation may run. */
        void admitted();

        /**
         * The client account exceeds its rate.
         *
         * @param retryAfterMillis milliseconds after which an operation is likely to be admitted
         */
        void refused(long retryAfterMillis);

        /** Whether the caller still waits for the decision. */
        boolean isPending();
    }
}
