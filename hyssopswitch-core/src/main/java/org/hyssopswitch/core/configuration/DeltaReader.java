package org.hyssopswitch.core.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.zip.DataFormatException;

/** Decodes the format of {@link DeltaWriter}; rejects lengths and offsets that are out of bounds. */
final class DeltaReader {

    private static final int MAX_VARINT_SHIFT = 28;

    private final byte[] base;
    private final ByteBuffer in;
    private final ByteArrayOutputStream value = new ByteArrayOutputStream();
    private int previousCopyEnd;

    private DeltaReader(byte[] base, byte[] delta) {
        this.base = base;
        this.in = ByteBuffer.wrap(delta);
    }

    /**
     * Decodes a delta.
     *
     * @throws DataFormatException if the delta does not match the base or is corrupted
     * @throws BufferUnderflowException if the delta is truncated
     */
    static byte[] read(byte[] base, byte[] delta) throws DataFormatException {
        DeltaReader reader = new DeltaReader(base, delta);
        reader.readLiteral();
        while (reader.in.hasRemaining()) {
            reader.readCopy();
            reader.readLiteral();
        }
        return reader.value.toByteArray();
    }

    private void readLiteral() throws DataFormatException {
        int length = readLength(in.remaining());
        value.write(in.array(), in.position(), length);
        in.position(in.position() + length);
    }

    private void readCopy() throws DataFormatException {
        int length = readLength(base.length);
        int offset = previousCopyEnd + decodeZigZag(readVarint());
        if (offset < 0 || offset > base.length - length) {
            throw new DataFormatException("copy offset is outside the base");
        }
        value.write(base, offset, length);
        previousCopyEnd = offset + length;
    }

    private int readLength(int limit) throws DataFormatException {
        int length = readVarint();
        if (length < 0 || length > limit || value.size() + length > SubtreeDelta.MAX_VALUE_BYTES) {
            throw new DataFormatException("length is out of bounds: " + length);
        }
        return length;
    }

    private int readVarint() throws DataFormatException {
        int number = 0;
        for (int shift = 0; shift <= MAX_VARINT_SHIFT; shift += 7) {
            byte next = in.get();
            number |= (next & 0x7f) << shift;
            if (next >= 0) {
                return number;
            }
        }
        throw new DataFormatException("variable-length integer is longer than 5 bytes");
    }

    private static int decodeZigZag(int number) {
        return (number >>> 1) ^ -(number & 1);
    }
}
