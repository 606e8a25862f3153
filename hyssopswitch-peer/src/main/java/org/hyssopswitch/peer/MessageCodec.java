package org.hyssopswitch.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.hyssopswitch.core.message.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Encodes messages as frames: four bytes of length (of what follows, big-endian), one byte of protocol version, the
 * message number and the record's components in MessagePack.
 */
public final class MessageCodec {

    /** Version of the protocol between VMs. */
    public static final int VERSION = 1;

    /** Bytes of the length that precedes a frame. */
    static final int LENGTH_BYTES = 4;

    private final MessageRegistry registry;
    private final int maxFrameBytes;

    /**
     * Creates a codec.
     *
     * @param registry the message classes
     * @param maxFrameBytes greatest length of a frame, without its four bytes of length
     */
    public MessageCodec(MessageRegistry registry, int maxFrameBytes) {
        this.registry = registry;
        this.maxFrameBytes = maxFrameBytes;
    }

    /**
     * Encodes a message as a frame, with its length.
     *
     * @param message a message of a registered class
     * @return the frame, or the failure when it is too large
     * @throws PeerException if the class is not registered
     */
    public Either<PeerFailure, byte[]> encode(PeerMessage message) {
        int number = registry.numberOf(message.getClass())
                .orElseThrow(() -> new PeerException(message.getClass().getName() + " is not registered"));
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(number);
            registry.codecOf(number).orElseThrow().write(packer, message);
            return frame(packer.toByteArray());
        } catch (IOException e) {
            throw new PeerException("cannot encode " + message.getClass().getName(), e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @param frame the frame, without its four bytes of length
     */
    public Either<PeerFailure, PeerMessage> decode(byte[] frame) {
        if (frame.length > maxFrameBytes) {
            return Either.left(new PeerFailure.FrameTooLarge(frame.length, maxFrameBytes));
        }
        if (frame.length == 0) {
            return Either.left(new PeerFailure.MalformedFrame("the frame is empty"));
        }
        if (frame[0] != VERSION) {
            return Either.left(new PeerFailure.OtherVersion(frame[0] & 0xff));
        }
        try {
            return read(new BoundedUnpacker(frame, 1));
        } catch (IOException | MessagePackException e) {
            return Either.left(new PeerFailure.MalformedFrame(String.valueOf(e.getMessage())));
        }
    }

    private Either<PeerFailure, PeerMessage> read(BoundedUnpacker in) throws IOException {
        int number = in.values().unpackInt();
        RecordCodec codec = registry.codecOf(number).orElse(null);
        if (codec == null) {
            return Either.left(new PeerFailure.UnknownMessage(number));
        }
        PeerMessage message = (PeerMessage) codec.read(in);
        if (in.hasMore()) {
            return Either.left(new PeerFailure.MalformedFrame("bytes follow message number " + number));
        }
        return Either.right(message);
    }

    private Either<PeerFailure, byte[]> frame(byte[] body) {
        int length = body.length + 1;
        if (length > maxFrameBytes) {
            return Either.left(new PeerFailure.FrameTooLarge(length, maxFrameBytes));
        }
        ByteBuffer frame = ByteBuffer.allocate(LENGTH_BYTES + length);
        frame.putInt(length).put((byte) VERSION).put(body);
        return Either.right(frame.array());
    }
}
