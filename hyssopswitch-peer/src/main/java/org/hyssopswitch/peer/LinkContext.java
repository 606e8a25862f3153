package org.hyssopswitch.peer;

import io.vavr.control.Either;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/** What all links of one VM share. */
record LinkContext(
        VmAddress self,
        PeerOptions.Limits limits,
        MessageCodec codec,
        LinkAuthenticator authenticator,
        PeerMetrics metrics) {

    /** Greatest length of a frame of the handshake. */
    static final int MAX_HANDSHAKE_BYTES = 1024;

    /** Sends a message that opens or checks a link. */
    void write(Connection<?> connection, PeerMessage message) {
        write(connection, codec.encode(message).get());
    }

    void write(Connection<?> connection, byte[] frame) {
        metrics.sent(frame.length);
        // A failed write closes the connection, which its filter reports.
        GrizzlyFuture<?> unused = connection.write(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, frame));
    }

    Either<PeerFailure, PeerMessage> decode(byte[] frame) {
        metrics.received(frame.length + MessageCodec.LENGTH_BYTES);
        return codec.decode(frame);
    }
}
