package org.hyssopswitch.wire;

import java.nio.ByteBuffer;

/**
 * One frame of the PostgreSQL protocol, passed through without interpretation of its body.
 *
 * @param type the type byte, or {@link #STARTUP} for the untyped frames that open a connection
 * @param body the body without type and length; not to be modified
 */
public record Frame(byte type, byte[] body) {

    /** The type given to untyped frames. */
    public static final byte STARTUP = 0;

    private static final int LENGTH_BYTES = 4;

    /**
     * Creates a frame from a type character.
     *
     * @param type the type character
     * @param body the body
     */
    public static Frame of(char type, byte[] body) {
        return new Frame((byte) type, body);
    }

    /**
     * Tells whether the frame has a type.
     *
     * @param expected the type character
     */
    public boolean is(char expected) {
        return type == (byte) expected;
    }

    /** Bytes that the frame takes on the wire. */
    public int encodedLength() {
        return (type == STARTUP ? 0 : 1) + LENGTH_BYTES + body.length;
    }

    /**
     * Writes the frame.
     *
     * @param target buffer with at least {@link #encodedLength()} bytes remaining
     */
    public void encode(ByteBuffer target) {
        if (type != STARTUP) {
            target.put(type);
        }
        target.putInt(LENGTH_BYTES + body.length);
        target.put(body);
    }

    /** Encodes the frame into an array of its own. */
    public byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(encodedLength());
        encode(buffer);
        return buffer.array();
    }
}
