package org.hyssopswitch.core.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.zip.DataFormatException;

/** Reads what {@link DeltaWriter} writes; lengths and places beyond their bounds are refused. */
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
     * Reads a delta.
     *
     * @throws DataFormatException if it does not fit the base or is damaged
     * @throws BufferUnderflowException if it ends early
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
            throw new DataFormatException("a copy lies outside the base");
        }
        value.write(base, offset, length);
        previousCopyEnd = offset + length;
    }

    private int readLength(int limit) throws DataFormatException {
        int length = readVarint();
        if (length < 0 || length > limit || value.size() + length > SubtreeDelta.MAX_VALUE_BYTES) {
            throw new DataFormatException("a length is out of bounds: " + length);
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
        throw new DataFormatException("a number is too long");
    }

    private static int decodeZigZag(int number) {
        return (number >>> 1) ^ -(number & 1);
    }
}
