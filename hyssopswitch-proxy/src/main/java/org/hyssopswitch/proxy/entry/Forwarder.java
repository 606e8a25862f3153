package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.proxy.forward.AnswerData;
import org.hyssopswitch.proxy.forward.AnswerEnd;
import org.hyssopswitch.proxy.forward.CloseStream;

/** The streams of this VM's callers, and the matching of answers to them by home, epoch, stream and sequence. */
final class Forwarder {

    private final VmAddress self;
    private final BiConsumer<VmAddress, PeerMessage> sender;
    private final Map<Long, EntryStream> streams = new HashMap<>();
    private long lastStream;

    Forwarder(VmAddress self, BiConsumer<VmAddress, PeerMessage> sender) {
        this.self = self;
        this.sender = sender;
    }

    EntryStream open(VmAddress home, EndpointId endpoint, StreamListener listener) {
        EntryStream stream = new EntryStream(this, home, endpoint, ++lastStream, listener);
        streams.put(lastStream, stream);
        return stream;
    }

    void messageReceived(VmAddress from, PeerMessage message) {
        if (message instanceof AnswerData data) {
            find(from, data.stream(), data.epoch()).forEach(s -> s.answerData(data.sequence(), data.frames()));
        } else if (message instanceof AnswerEnd end) {
            find(from, end.stream(), end.epoch()).forEach(s -> s.answerEnded(end));
        }
    }

    void linkFailed(VmAddress home) {
        List<EntryStream> lost =
                streams.values().stream().filter(s -> s.home().equals(home)).toList();
        lost.forEach(EntryStream::homeLost);
    }

    long epoch() {
        return self.incarnation();
    }

    int size() {
        return streams.size();
    }

    void send(VmAddress to, PeerMessage message) {
        sender.accept(to, message);
    }

    void forget(long stream) {
        streams.remove(stream);
    }

    void abandon(long stream, VmAddress home) {
        streams.remove(stream);
        send(home, new CloseStream(stream, epoch()));
    }

    /** A late answer to a stream that was given up finds nothing and is dropped. */
    private Option<EntryStream> find(VmAddress from, long stream, long epoch) {
        return epoch == self.incarnation()
                ? Option.of(streams.get(stream)).filter(s -> s.home().equals(from))
                : Option.none();
    }
}
