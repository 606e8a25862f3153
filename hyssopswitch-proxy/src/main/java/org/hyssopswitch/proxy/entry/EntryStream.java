package org.hyssopswitch.proxy.entry;

import java.util.HashSet;
import java.util.Set;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.proxy.forward.AnswerEnd;
import org.hyssopswitch.proxy.forward.CancelCycle;
import org.hyssopswitch.proxy.forward.ContinueCycle;
import org.hyssopswitch.proxy.forward.CycleRouting;
import org.hyssopswitch.proxy.forward.ExecuteCycle;
import org.hyssopswitch.proxy.forward.GrantCredit;
import org.hyssopswitch.proxy.forward.TransactionState;

/** A stream of cycles to one home, seen from the entry VM. */
final class EntryStream {

    private final Forwarder forwarder;
    private final VmAddress home;
    private final EndpointId endpoint;
    private final long number;
    private final Set<String> prepared = new HashSet<>();
    private StreamListener listener;
    private int sequence;
    private boolean running;
    private boolean closed;

    EntryStream(Forwarder forwarder, VmAddress home, EndpointId endpoint, long number, StreamListener listener) {
        this.forwarder = forwarder;
        this.home = home;
        this.endpoint = endpoint;
        this.number = number;
        this.listener = listener;
    }

    VmAddress home() {
        return home;
    }

    EndpointId endpoint() {
        return endpoint;
    }

    /** Statements that are prepared on the stream's endpoint connection. */
    Set<String> prepared() {
        return prepared;
    }

    void listen(StreamListener next) {
        listener = next;
    }

    void execute(CycleRouting facts, boolean open, byte[] frames) {
        sequence++;
        running = true;
        forwarder.send(home, new ExecuteCycle(number, forwarder.epoch(), sequence, facts, open, frames));
    }

    void more(boolean open, byte[] frames) {
        forwarder.send(home, new ContinueCycle(number, forwarder.epoch(), sequence, open, frames));
    }

    void cancel() {
        if (running) {
            forwarder.send(home, new CancelCycle(number, forwarder.epoch(), sequence));
        }
    }

    void grant(int bytes) {
        if (!closed) {
            forwarder.send(home, new GrantCredit(number, forwarder.epoch(), bytes));
        }
    }

    /** Gives the stream up. */
    void close() {
        if (!closed) {
            closed = true;
            forwarder.abandon(number, home);
        }
    }

    void answerData(int answered, byte[] frames) {
        if (isCurrent(answered)) {
            listener.answerData(frames);
        }
    }

    void answerEnded(AnswerEnd end) {
        if (!isCurrent(end.sequence())) {
            return;
        }
        running = false;
        if (end.transaction() == TransactionState.IDLE) {
            closed = true;
            forwarder.forget(number);
        }
        listener.answerEnded(end);
    }

    void homeLost() {
        if (!closed) {
            close();
            listener.homeLost();
        }
    }

    /** An answer to another cycle than the current one is crossed: the stream cannot be trusted any more. */
    private boolean isCurrent(int answered) {
        if (running && answered == sequence) {
            return true;
        }
        homeLost();
        return false;
    }
}
