package org.hyssopswitch.core.configuration;

import java.io.ByteArrayOutputStream;

/**
 * Writes a delta: alternating literals and copies from the base, each prefixed with its length. The offset of a copy is
 * relative to the end of the previous copy.
 */
final class DeltaWriter {

    private final byte[] value;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private int writtenBytes;
    private int previousCopyEnd;

    DeltaWriter(byte[] value) {
        this.value = value;
    }

    /** Returns the number of bytes of the value that the delta covers so far. */
    int writtenBytes() {
        return writtenBytes;
    }

    /** Returns the difference between a position in the value and its offset in the base, as of the previous copy. */
    int copyShift() {
        return previousCopyEnd - writtenBytes;
    }

    /** Writes a literal up to a position and a copy from the base for the bytes that follow. */
    void writeCopy(int offset, int position, int length) {
        writeLiteral(position);
        writeVarint(length);
        writeVarint(encodeZigZag(offset - previousCopyEnd));
        writtenBytes = position + length;
        previousCopyEnd = offset + length;
    }

    /** Writes the remaining bytes as a literal and returns the delta. */
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
