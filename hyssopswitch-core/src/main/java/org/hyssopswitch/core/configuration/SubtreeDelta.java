package org.hyssopswitch.core.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Delta encoding of a value against an older value that the receiver has: literals and copies from the older value,
 * compressed.
 *
 * <p>The sender finds the common parts on its own, as in J. Barreto and P. Ferreira, "Efficient Locally Trackable
 * Deduplication in Replicated Systems": the receiver's version tells the sender which values the receiver has, so that
 * neither an exchange of hashes nor another round trip is needed. A hash of the value detects a wrong base.
 */
public final class SubtreeDelta {

    /** Maximum length of a decoded value. */
    public static final int MAX_VALUE_BYTES = 2 << 20;

    private static final int HEADER_BYTES = Integer.BYTES;
    private static final int BUFFER_BYTES = 4_096;

    private SubtreeDelta() {}

    /**
     * Encodes a value.
     *
     * @param base the older value; empty for none
     * @param value the value
     */
    public static byte[] encode(byte[] base, byte[] value) {
        DeltaWriter writer = new DeltaWriter(value);
        new BlockMatcher(base, value).writeMatches(writer);
        byte[] compressed = deflate(writer.finish());
        return ByteBuffer.allocate(HEADER_BYTES + compressed.length)
                .putInt(Arrays.hashCode(value))
                .put(compressed)
                .array();
    }

    /**
     * Decodes a value.
     *
     * @param base the older value; empty for none
     * @param encoded the encoded value
     * @return the value, or empty if it was encoded against another base or is corrupted
     */
    public static Optional<byte[]> decode(byte[] base, byte[] encoded) {
        try {
            int hash = ByteBuffer.wrap(encoded).getInt();
            byte[] value = DeltaReader.read(base, inflate(encoded));
            return Arrays.hashCode(value) == hash ? Optional.of(value) : Optional.empty();
        } catch (BufferUnderflowException | DataFormatException e) {
            return Optional.empty();
        }
    }

    private static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflate(byte[] encoded) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(encoded, HEADER_BYTES, encoded.length - HEADER_BYTES);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && !inflater.finished()) {
                    throw new DataFormatException("compressed data is truncated or requires a dictionary");
                }
                out.write(buffer, 0, count);
                if (out.size() > 2 * MAX_VALUE_BYTES) {
                    throw new DataFormatException("decompressed data is too long");
                }
            }
            return out.toByteArray();
        } finally {
            inflater.end();
        }
    }
}
