package org.hyssopswitch.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Writes the fields of a frame body. */
public final class BodyWriter {

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /**
     * Writes one byte.
     *
     * @param value the byte
     */
    public BodyWriter writeByte(int value) {
        bytes.write(value);
        return this;
    }

    /**
     * Writes two bytes.
     *
     * @param value the number
     */
    public BodyWriter writeShort(int value) {
        return writeByte(value >>> 8).writeByte(value);
    }

    /**
     * Writes four bytes.
     *
     * @param value the number
     */
    public BodyWriter writeInt(int value) {
        return writeShort(value >>> 16).writeShort(value);
    }

    /**
     * Writes bytes as they are.
     *
     * @param value the bytes
     */
    public BodyWriter writeBytes(byte[] value) {
        bytes.writeBytes(value);
        return this;
    }

    /**
     * Writes a string and a zero byte.
     *
     * @param value the string, without zero bytes
     */
    public BodyWriter writeString(String value) {
        return writeBytes(value.getBytes(StandardCharsets.UTF_8)).writeByte(0);
    }

    /** The body. */
    public byte[] toBytes() {
        return bytes.toByteArray();
    }

    /**
     * Makes a frame of the body.
     *
     * @param type the type character
     */
    public Frame toFrame(char type) {
        return Frame.of(type, toBytes());
    }
}
