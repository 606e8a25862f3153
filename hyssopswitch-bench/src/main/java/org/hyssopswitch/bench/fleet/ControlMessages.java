package org.hyssopswitch.bench.fleet;

import java.util.Arrays;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.peer.MessageCodec;
import org.hyssopswitch.proxy.vm.VmMessages;

/** The codec of all messages between VMs, and the subject that a message belongs to. */
public final class ControlMessages {

    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 8 << 20;

    private ControlMessages() {}

    /** Creates a codec of all messages. */
    public static MessageCodec codec() {
        return new MessageCodec(VmMessages.registry(), MAX_FRAME_BYTES);
    }

    /**
     * A frame without its length, as a link hands it to the codec.
     *
     * @param frame the frame
     */
    public static byte[] body(byte[] frame) {
        return Arrays.copyOfRange(frame, LENGTH_BYTES, frame.length);
    }

    /**
     * The subject of a message: the package of its class.
     *
     * @param message the message
     */
    public static String subject(PeerMessage message) {
        String name = message.getClass().getPackageName();
        return name.substring(name.lastIndexOf('.') + 1);
    }
}
