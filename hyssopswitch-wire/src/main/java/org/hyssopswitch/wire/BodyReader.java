package org.hyssopswitch.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads the fields of a frame body. */
public final class BodyReader {

    private final ByteBuffer buffer;

    /**
     * Creates a reader.
     *
     * @param body the body
     */
    public BodyReader(byte[] body) {
        this.buffer = ByteBuffer.wrap(body);
    }

    /** Bytes not read yet. */
    public int remaining() {
        return buffer.remaining();
    }

    /** Reads one byte; throws {@link java.nio.BufferUnderflowException} at the end of the body. */
    public byte readByte() {
        return buffer.get();
    }

    /** Reads two bytes. */
    public short readShort() {
        return buffer.getShort();
    }

    /** Reads four bytes. */
    public int readInt() {
        return buffer.getInt();
    }

    /**
     * Reads a number of bytes.
     *
     * @param count the number; throws {@link java.nio.BufferUnderflowException} when negative or too large
     */
    public byte[] readBytes(int count) {
        if (count < 0 || count > buffer.remaining()) {
            throw new java.nio.BufferUnderflowException();
        }
        byte[] bytes = new byte[count];
        buffer.get(bytes);
        return bytes;
    }

    /** Reads a string that ends in a zero byte. */
    public String readString() {
        int start = buffer.position();
        while (buffer.get() != 0) {
            // advances to the terminator
        }
        return new String(buffer.array(), start, buffer.position() - start - 1, StandardCharsets.UTF_8);
    }
}
