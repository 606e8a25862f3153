package org.hyssopswitch.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of the links of one VM. */
final class PeerMetrics {

    private final Counter sentBytes;
    private final Counter sentMessages;
    private final Counter receivedBytes;
    private final Counter receivedMessages;
    private final Counter droppedMessages;
    private final Counter refusedLinks;

    PeerMetrics(MetricRegistry registry) {
        this.sentBytes = registry.counter("peer.sent.bytes");
        this.sentMessages = registry.counter("peer.sent.messages");
        this.receivedBytes = registry.counter("peer.received.bytes");
        this.receivedMessages = registry.counter("peer.received.messages");
        this.droppedMessages = registry.counter("peer.dropped.messages");
        this.refusedLinks = registry.counter("peer.refused.links");
    }

    void sent(int bytes) {
        sentBytes.inc(bytes);
        sentMessages.inc();
    }

    void received(int bytes) {
        receivedBytes.inc(bytes);
        receivedMessages.inc();
    }

    void dropped() {
        droppedMessages.inc();
    }

    void refused() {
        refusedLinks.inc();
    }
}
