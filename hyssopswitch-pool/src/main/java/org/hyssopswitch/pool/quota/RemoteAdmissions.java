package org.hyssopswitch.pool.quota;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.admission.AdmissionListener;
import org.hyssopswitch.core.admission.SingleUsePermit;
import org.hyssopswitch.pool.peer.AdmissionReply;
import org.hyssopswitch.pool.peer.AdmissionRequest;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.TokenTransfer;

/**
 * Operations of this VM that wait for the decision of another VM, which holds their client account's tokens.
 *
 * <p>A holder that answers late, because its processor is busy, does not cost the operation its chance: another holder is
 * asked as well, and the first decision counts. A token that the other one took all the same is given back to it.
 */
final class RemoteAdmissions {

    /** Time without an answer after which the next holder is asked as well, milliseconds: many round trips. */
    private static final long ANSWER_TIMEOUT_MILLIS = 80;

    /** Time without any message of an asked holder after which it is considered lost, milliseconds. */
    private static final long SILENCE_MILLIS = 200;

    /** Time for which a lost holder is not asked, milliseconds. */
    private static final long SUSPECT_MILLIS = 1_000;

    /** Time after which an operation is refused without a decision, milliseconds: three holders were asked by then. */
    private static final long DECISION_TIMEOUT_MILLIS = 3 * ANSWER_TIMEOUT_MILLIS + SILENCE_MILLIS / 2;

    /** Retry delay of an operation that no holder decided on, milliseconds: a holder that is lost is avoided by then. */
    private static final long UNDECIDED_RETRY_AFTER_MILLIS = 2 * ANSWER_TIMEOUT_MILLIS;

    /** Times that each holder is asked for one operation, at most; lists of VMs that differ may send it in circles. */
    private static final int MAX_ROUNDS = 2;

    /** Bound of the identifier of the first operation of a process. */
    private static final long MAX_FIRST_ID = 1L << 48;

    /** Time for which the late answer to a decided operation is recognised, milliseconds. */
    private static final long LATE_ANSWER_MILLIS = 5_000;

    private static final Logger LOG = LogManager.getLogger(RemoteAdmissions.class);

    private final LongSupplier clock;
    private final Map<Long, PendingOperation> pending = new HashMap<>();
    private final Map<String, Long> suspectUntilMillis = new HashMap<>();
    private final Map<String, Long> lastReplyMillis = new HashMap<>();
    private final Map<String, Long> stoppingUntilMillis = new HashMap<>();
    private final Map<Long, DecidedOperation> decided = new LinkedHashMap<>();
    private final Map<String, Map<String, Double>> givenBack = new HashMap<>();
    private PeerLinks peers;
    // A late answer to an earlier process of this VM must not be taken for one to an operation of this process.
    private long nextId = ThreadLocalRandom.current().nextLong(MAX_FIRST_ID);

    RemoteAdmissions(PeerLinks peers, LongSupplier clock) {
        this.peers = peers;
        this.clock = clock;
    }

    void connect(PeerLinks links) {
        peers = links;
    }

    /**
     * Asks the first holder that is not suspected to be lost.
     *
     * @param account name of the client account
     * @param holders the holders, in the order of preference
     * @param maxWaitMillis longest wait for a token, milliseconds
     * @param listener notified of the decision
     */
    void admit(String account, List<String> holders, long maxWaitMillis, AdmissionListener listener) {
        long id = nextId++;
        PendingOperation operation = new PendingOperation(account, holders, maxWaitMillis, listener, clock.getAsLong());
        pending.put(id, operation);
        ask(id, operation);
    }

    /** Handles the decision of a holder. */
    void replyReceived(String vm, AdmissionReply reply) {
        suspectUntilMillis.remove(vm);
        lastReplyMillis.put(vm, clock.getAsLong());
        PendingOperation operation = pending.get(reply.requestId());
        if (operation == null) {
            lateReplyReceived(vm, reply);
            return;
        }
        switch (reply.outcome()) {
            case ADMITTED -> {
                removeAnswered(reply.requestId(), operation);
                if (operation.listener.isPending()) {
                    operation.listener.admitted(new SingleUsePermit(now -> giveBack(vm, operation.account)));
                } else {
                    giveBack(vm, operation.account);
                }
            }
            case REFUSED -> {
                removeAnswered(reply.requestId(), operation);
                operation.listener.refused(reply.retryAfterMillis());
            }
            case WAITING -> operation.waiting = true;
            default -> askNext(reply.requestId(), operation);
        }
    }

    /** Asks other holders for a while, because one stops. */
    void vmStopping(String vm, long unavailableMillis) {
        stoppingUntilMillis.put(vm, clock.getAsLong() + unavailableMillis);
    }

    /** Restarts the timeouts of what a VM was asked, because it receives the questions only now. */
    void linkOpened(String vm) {
        long now = clock.getAsLong();
        lastReplyMillis.put(vm, now);
        pending.values().stream()
                .filter(operation -> vm.equals(operation.asked))
                .forEach(operation -> operation.askedMillis = now);
    }

    /** Asks other holders instead of one to which messages may have been lost. */
    void linkFailed(String vm) {
        List.copyOf(pending.entrySet()).stream()
                .filter(entry -> vm.equals(entry.getValue().asked))
                .forEach(entry -> {
                    suspect(vm, "link_failed");
                    askNext(entry.getKey(), entry.getValue());
                });
    }

    /** Asks other holders where one does not answer, and gives tokens back; called every few milliseconds. */
    void tick() {
        long now = clock.getAsLong();
        givenBack.forEach((vm, tokens) -> peers.send(vm, new TokenTransfer(Map.copyOf(tokens), Map.of())));
        givenBack.clear();
        decided.values().removeIf(operation -> now - operation.decidedMillis() > LATE_ANSWER_MILLIS);
        for (Map.Entry<Long, PendingOperation> entry : List.copyOf(pending.entrySet())) {
            PendingOperation operation = entry.getValue();
            if (!operation.listener.isPending()) {
                remove(entry.getKey(), operation);
            } else if (now >= operation.startedMillis + operation.maxWaitMillis + DECISION_TIMEOUT_MILLIS) {
                remove(entry.getKey(), operation);
                operation.listener.undecided(UNDECIDED_RETRY_AFTER_MILLIS);
            } else if (!operation.waiting && now - operation.askedMillis >= ANSWER_TIMEOUT_MILLIS) {
                suspectIfSilent(operation, now);
                askNext(entry.getKey(), operation);
            }
        }
    }

    /** Ends the wait of an operation that a holder decided on; if it was asked alone, no further answer can come. */
    private void removeAnswered(long id, PendingOperation operation) {
        if (operation.attempts == 0) {
            pending.remove(id);
        } else {
            remove(id, operation);
        }
    }

    /** Ends the wait of an operation; a holder that admits it late gets its token back. */
    private void remove(long id, PendingOperation operation) {
        pending.remove(id);
        decided.put(id, new DecidedOperation(operation.account, clock.getAsLong()));
    }

    /** Gives a token back by a message that is sent once; if it is lost, so is the token. */
    private void giveBack(String vm, String account) {
        givenBack.computeIfAbsent(vm, name -> new HashMap<>()).merge(account, 1.0, Double::sum);
    }

    private void lateReplyReceived(String vm, AdmissionReply reply) {
        DecidedOperation operation = decided.get(reply.requestId());
        if (operation != null && reply.outcome() == AdmissionReply.Outcome.ADMITTED) {
            giveBack(vm, operation.account());
        }
    }

    private void suspectIfSilent(PendingOperation operation, long now) {
        long heardMillis = lastReplyMillis.getOrDefault(operation.asked, operation.startedMillis);
        if (now - heardMillis >= SILENCE_MILLIS) {
            suspect(operation.asked, "silent");
        }
    }

    private void suspect(String vm, String cause) {
        Long previous = suspectUntilMillis.put(vm, clock.getAsLong() + SUSPECT_MILLIS);
        if (previous == null) {
            LOG.info("event=token_holder_suspected vm={} cause={}", vm, cause);
        }
    }

    private void askNext(long id, PendingOperation operation) {
        operation.attempts++;
        operation.position++;
        operation.waiting = false;
        if (operation.attempts < MAX_ROUNDS * operation.holders.size()) {
            ask(id, operation);
        } else {
            remove(id, operation);
            operation.listener.undecided(UNDECIDED_RETRY_AFTER_MILLIS);
        }
    }

    private void ask(long id, PendingOperation operation) {
        long now = clock.getAsLong();
        List<String> holders = operation.holders;
        for (int i = 0; i < holders.size(); i++) {
            String vm = holders.get((operation.position + i) % holders.size());
            if (now >= Math.max(suspectUntilMillis.getOrDefault(vm, now), stoppingUntilMillis.getOrDefault(vm, now))) {
                operation.position += i;
                break;
            }
        }
        operation.asked = holders.get(operation.position % holders.size());
        operation.askedMillis = now;
        peers.send(operation.asked, new AdmissionRequest(id, operation.account, operation.maxWaitMillis));
    }

    private record DecidedOperation(String account, long decidedMillis) {}

    private static final class PendingOperation {

        private final String account;
        private final List<String> holders;
        private final long maxWaitMillis;
        private final AdmissionListener listener;
        private final long startedMillis;
        private int attempts;
        private int position;
        private String asked = "";
        private long askedMillis;
        private boolean waiting;

        PendingOperation(
                String account,
                List<String> holders,
                long maxWaitMillis,
                AdmissionListener listener,
                long startedMillis) {
            this.account = account;
            this.holders = holders;
            this.maxWaitMillis = maxWaitMillis;
            this.listener = listener;
            this.startedMillis = startedMillis;
        }
    }
}
