package org.hyssopswitch.pool.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.hyssopswitch.core.admission.AccountTokens;
import org.hyssopswitch.core.admission.AdmissionListener;
import org.hyssopswitch.core.admission.AdmissionPermit;
import org.hyssopswitch.core.admission.TokenHolderUtils;
import org.hyssopswitch.core.admission.TokenNeed;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.peer.AdmissionReply;
import org.hyssopswitch.pool.peer.AdmissionRequest;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.TokenRequest;
import org.hyssopswitch.pool.peer.TokenTransfer;

/**
 * Admits operations of client accounts within their rates.
 *
 * <p>For each account a few VMs hold equal parts of the rate and burst; the others ask one of them to admit an operation.
 * Holders transfer unused tokens to each other. Tokens are withdrawn before a message is sent, so a lost message loses its
 * tokens, and no failure of messages or VMs lets an account exceed its limit.
 */
public final class AccountLimiter {

    /** Interval between the exchanges of holders, milliseconds; covers a fraction of a second's rate. */
    private static final long EXCHANGE_PERIOD_MILLIS = 100;

    private final LongSupplier clock;
    private final RemoteAdmissions remote;
    private final Map<String, AccountTokens> held = new HashMap<>();
    private final Map<String, List<String>> holders = new HashMap<>();
    private Map<String, Rate> appliedLimits = Map.of();
    private Map<String, String> appliedDataCentres = Map.of();
    private PeerLinks peers;
    private boolean stopping;
    private long lastExchangeMillis;

    /**
     * Creates a limiter without accounts.
     *
     * @param peers links to the other VMs
     * @param clock milliseconds of the monotonic clock
     */
    public AccountLimiter(PeerLinks peers, LongSupplier clock) {
        this.peers = peers;
        this.clock = clock;
        this.remote = new RemoteAdmissions(peers, clock);
        this.lastExchangeMillis = clock.getAsLong();
    }

    /**
     * Applies the limits of a configuration.
     *
     * @param catalog the configuration
     * @param self name of this VM
     * @param dataCentreOf data centre of all VMs by name, this one included
     */
    public void update(Catalog catalog, String self, Map<String, String> dataCentreOf) {
        long now = clock.getAsLong();
        Map<String, Rate> limits = new HashMap<>();
        catalog.accounts().values().forEach(account -> account.limit()
                .forEach(rate -> limits.put(account.name(), rate)));
        if (limits.equals(appliedLimits) && dataCentreOf.equals(appliedDataCentres)) {
            // The choice of holders costs a hash per account and VM; most changes of a configuration concern neither.
            return;
        }
        appliedLimits = limits;
        appliedDataCentres = Map.copyOf(dataCentreOf);
        holders.clear();
        limits.forEach((name, rate) -> {
            List<String> chosen = TokenHolderUtils.choose(name, rate, dataCentreOf);
            boolean transferred = stopping && chosen.size() > 1;
            List<String> asked =
                    transferred ? chosen.stream().filter(vm -> !vm.equals(self)).toList() : chosen;
            holders.put(name, TokenHolderUtils.inOrderOf(name, asked, dataCentreOf.get(self), dataCentreOf));
            if (chosen.contains(self) && !transferred) {
                List<String> others =
                        chosen.stream().filter(vm -> !vm.equals(self)).toList();
                held.computeIfAbsent(name, key -> new AccountTokens(now))
                        .resize(rate.perSecond(), rate.burst(), others, now);
            }
        });
        List.copyOf(held.keySet()).stream()
                .filter(name -> !limits.containsKey(name) || !holders.get(name).contains(self))
                .forEach(name -> held.remove(name).refuseAll(now));
    }

    /**
     * Transfers the tokens of this VM, which stops, to other holders and has them decide from now on. Accounts whose
     * tokens no other VM holds stay here.
     *
     * @param self name of this VM
     */
    public void stop(String self) {
        long now = clock.getAsLong();
        stopping = true;
        for (String name : List.copyOf(held.keySet())) {
            List<String> others =
                    holders.get(name).stream().filter(vm -> !vm.equals(self)).toList();
            if (!others.isEmpty()) {
                AccountTokens tokens = held.remove(name);
                holders.put(name, others);
                peers.send(others.get(0), new TokenTransfer(Map.of(name, tokens.withdrawAll(now)), Map.of(name, 0.0)));
                tokens.refuseAll(now);
            }
        }
    }

    /** Returns the VMs that this one asks first to admit operations. */
    public Set<String> preferredHolders() {
        return holders.entrySet().stream()
                .filter(entry -> !held.containsKey(entry.getKey()))
                .map(entry -> entry.getValue().get(0))
                .collect(Collectors.toSet());
    }

    /**
     * A VM stops and is not asked for a while.
     *
     * @param vm name of the VM
     * @param unavailableMillis time for which it is not asked, milliseconds
     */
    public void vmStopping(String vm, long unavailableMillis) {
        remote.vmStopping(vm, unavailableMillis);
    }

    /**
     * Sets the links over which tokens are exchanged.
     *
     * @param links links to the other VMs
     */
    public void connect(PeerLinks links) {
        peers = links;
        remote.connect(links);
    }

    /**
     * Admits an operation now, or after a short wait if a token is likely to become available within it.
     *
     * @param account the client account
     * @param maxWaitMillis longest wait, milliseconds
     * @param listener notified of the decision, possibly before this call returns
     */
    public void admit(Account account, long maxWaitMillis, AdmissionListener listener) {
        AccountTokens tokens = held.get(account.name());
        if (tokens != null) {
            if (tokens.admit(maxWaitMillis, listener, clock.getAsLong())) {
                exchange(Map.of(account.name(), tokens), clock.getAsLong());
            }
        } else if (holders.containsKey(account.name())) {
            remote.admit(account.name(), holders.get(account.name()), maxWaitMillis, listener);
        } else {
            listener.admitted(AdmissionPermit.NONE);
        }
    }

    /** Decides on waiting operations and exchanges tokens with the other holders; called every few milliseconds. */
    public void tick() {
        long now = clock.getAsLong();
        held.values().forEach(tokens -> tokens.processWaiting(now));
        remote.tick();
        if (now - lastExchangeMillis >= EXCHANGE_PERIOD_MILLIS) {
            lastExchangeMillis = now;
            held.values().forEach(AccountTokens::forgetOthers);
            exchange(held, now);
        } else {
            exchangeForWaiting(now);
        }
    }

    /**
     * Handles a message from another VM.
     *
     * @param vm name of the sender
     * @param message the message
     */
    public void received(String vm, PeerMessage message) {
        if (message instanceof AdmissionRequest request) {
            admissionRequested(vm, request);
        } else if (message instanceof AdmissionReply reply) {
            remote.replyReceived(vm, reply);
        } else if (message instanceof TokenRequest request) {
            tokensRequested(vm, request);
        } else if (message instanceof TokenTransfer transfer) {
            tokensReceived(vm, transfer);
        }
    }

    /**
     * A link to a VM was opened: messages that waited for it are sent now.
     *
     * @param vm name of the VM
     */
    public void linkOpened(String vm) {
        remote.linkOpened(vm);
    }

    /**
     * The link to a VM failed: messages sent to it may be lost.
     *
     * @param vm name of the VM
     */
    public void linkFailed(String vm) {
        remote.linkFailed(vm);
    }

    private void admissionRequested(String vm, AdmissionRequest request) {
        AccountTokens tokens = held.get(request.account());
        if (tokens == null) {
            peers.send(vm, new AdmissionReply(request.requestId(), AdmissionReply.Outcome.NOT_HOLDER, 0));
            return;
        }
        long now = clock.getAsLong();
        if (tokens.admit(request.waitMillis(), new RemoteListener(vm, request.requestId()), now)) {
            peers.send(vm, new AdmissionReply(request.requestId(), AdmissionReply.Outcome.WAITING, 0));
            exchange(Map.of(request.account(), tokens), now);
        }
    }

    private void tokensRequested(String vm, TokenRequest request) {
        long now = clock.getAsLong();
        Map<String, Double> tokens = new HashMap<>();
        Map<String, Double> left = new HashMap<>();
        request.needs().forEach((name, need) -> {
            AccountTokens own = held.get(name);
            tokens.put(name, own == null ? 0 : own.withdraw(need, now));
            left.put(name, own == null ? 0 : own.unused(now));
        });
        peers.send(vm, new TokenTransfer(tokens, left));
    }

    private void tokensReceived(String vm, TokenTransfer transfer) {
        long now = clock.getAsLong();
        Map<String, AccountTokens> waiting = new HashMap<>();
        transfer.tokens().forEach((name, amount) -> {
            AccountTokens tokens = held.get(name);
            if (tokens != null && !transfer.left().containsKey(name)) {
                tokens.giveBack(amount, now);
            } else if (tokens != null) {
                tokens.deposit(vm, amount, transfer.left().get(name), now);
                if (tokens.hasWaiting()) {
                    waiting.put(name, tokens);
                }
            }
        });
        exchange(waiting, now);
    }

    /** Requests tokens for the accounts whose operations wait. */
    private void exchangeForWaiting(long now) {
        Map<String, AccountTokens> waiting = new HashMap<>();
        held.forEach((name, tokens) -> {
            if (tokens.hasWaiting()) {
                waiting.put(name, tokens);
            }
        });
        exchange(waiting, now);
    }

    /** Requests missing tokens from the holder that is likely to have most of them. */
    private void exchange(Map<String, AccountTokens> accounts, long now) {
        Map<String, Map<String, TokenNeed>> requested = new HashMap<>();
        accounts.forEach((name, tokens) -> tokens.need(now)
                .forEach(need -> tokens.richestHolder(now).forEach(vm -> {
                    tokens.recordRequest(vm, now);
                    requested.computeIfAbsent(vm, key -> new HashMap<>()).put(name, need);
                })));
        requested.forEach((vm, byAccount) -> peers.send(vm, new TokenRequest(byAccount)));
    }

    /** Sends the decision on an operation to the VM that asked for it. */
    private final class RemoteListener implements AdmissionListener {

        private final String vm;
        private final long requestId;

        RemoteListener(String vm, long requestId) {
            this.vm = vm;
            this.requestId = requestId;
        }

        @Override
        public void admitted(AdmissionPermit permit) {
            // The VM that asked gives the token back by a message if the operation sends nothing.
            peers.send(vm, new AdmissionReply(requestId, AdmissionReply.Outcome.ADMITTED, 0));
        }

        @Override
        public void refused(long retryAfterMillis) {
            peers.send(vm, new AdmissionReply(requestId, AdmissionReply.Outcome.REFUSED, retryAfterMillis));
        }

        @Override
        public boolean isPending() {
            return true;
        }
    }
}
