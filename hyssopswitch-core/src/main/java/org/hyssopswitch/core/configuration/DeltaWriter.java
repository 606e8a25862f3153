package org.hyssopswitch.core.configuration;

import java.io.ByteArrayOutputStream;

/**
 * Writes a delta: pairs of a literal and a copy, each with its length in front; the place of a copy is relative to the
 * end of the last one.
 */
final class DeltaWriter {

    private final byte[] value;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private int writtenBytes;
    private int previousCopyEnd;

    DeltaWriter(byte[] value) {
        this.value = value;
    }

    /** Bytes of the value that are written so far. */
    int writtenBytes() {
        return writtenBytes;
    }

    /** What is added to a position of the value to get to its place in the base if the last copy went on. */
    int copyShift() {
        return previousCopyEnd - writtenBytes;
    }

    /** Writes the literal up to a position and a copy of the bytes from there. */
    void writeCopy(int offset, int position, int length) {
        writeLiteral(position);
        writeVarint(length);
        writeVarint(encodeZigZag(offset - previousCopyEnd));
        writtenBytes = position + length;
        previousCopyEnd = offset + length;
    }

    /** Writes what is left as a literal and returns the delta. */
    byte[] finish() {
        writeLiteral(value.length);
        return out.toByteArray();
    }

    private void writeLiteral(int end) {
        writeVarint(end - writtenBytes);
        out.write(value, writtenBytes, end - writtenBytes);
        writtenBytes = end;
    }

    private void writeVarint(int number) {
        int rest = number;
        while ((rest & ~0x7f) != 0) {
            out.write((rest & 0x7f) | 0x80);
            rest >>>= 7;
        }
        out.write(rest);
    }

    private static int encodeZigZag(int number) {
        return (number << 1) ^ (number >> 31);
    }
}
