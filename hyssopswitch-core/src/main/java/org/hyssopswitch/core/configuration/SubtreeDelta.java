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
 * Encodes a value against an older one that the receiver has: the bytes that both begin and end with are left out, and
 * the rest is compressed with the older value as dictionary. The checksum of the format detects a wrong base.
 */
public final class SubtreeDelta {

    /** Greatest length of a decoded value. */
    public static final int MAX_VALUE_BYTES = 2 << 20;

    private static final int HEADER_BYTES = 3 * Integer.BYTES;
    private static final int BUFFER_BYTES = 4_096;

    private SubtreeDelta() {}

    /**
     * Encodes a value.
     *
     * @param base the older value; empty for none
     * @param value the value
     */
    public static byte[] encode(byte[] base, byte[] value) {
        int shorter = Math.min(base.length, value.length);
        int prefix = commonPrefix(base, value, shorter);
        int suffix = commonSuffix(base, value, shorter - prefix);
        byte[] middle = Arrays.copyOfRange(value, prefix, value.length - suffix);
        byte[] compressed = deflate(dictionary(base, prefix, suffix), middle);
        return ByteBuffer.allocate(HEADER_BYTES + compressed.length)
                .putInt(prefix)
                .putInt(suffix)
                .putInt(Arrays.hashCode(value))
                .put(compressed)
                .array();
    }

    /**
     * Decodes a value.
     *
     * @param base the older value; empty for none
     * @param encoded the encoded value
     * @return the value, or nothing when it was encoded against another base or is damaged
     */
    public static Optional<byte[]> decode(byte[] base, byte[] encoded) {
        try {
            ByteBuffer in = ByteBuffer.wrap(encoded);
            int prefix = in.getInt();
            int suffix = in.getInt();
            int hash = in.getInt();
            if (prefix < 0 || suffix < 0 || (long) prefix + suffix > base.length) {
                return Optional.empty();
            }
            byte[] middle = inflate(dictionary(base, prefix, suffix), encoded);
            ByteBuffer value = ByteBuffer.allocate(prefix + middle.length + suffix);
            value.put(base, 0, prefix).put(middle).put(base, base.length - suffix, suffix);
            return Arrays.hashCode(value.array()) == hash ? Optional.of(value.array()) : Optional.empty();
        } catch (BufferUnderflowException | DataFormatException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** The part of the base that the compressed bytes replace; all of it when they only insert. */
    private static byte[] dictionary(byte[] base, int prefix, int suffix) {
        byte[] replaced = Arrays.copyOfRange(base, prefix, base.length - suffix);
        return replaced.length > 0 ? replaced : base;
    }

    private static int commonPrefix(byte[] base, byte[] value, int limit) {
        int mismatch = Arrays.mismatch(base, 0, limit, value, 0, limit);
        return mismatch < 0 ? limit : mismatch;
    }

    private static int commonSuffix(byte[] base, byte[] value, int limit) {
        int length = 0;
        while (length < limit && base[base.length - 1 - length] == value[value.length - 1 - length]) {
            length++;
        }
        return length;
    }

    private static byte[] deflate(byte[] dictionary, byte[] bytes) {
        Deflater deflater = new Deflater();
        try {
            if (dictionary.length > 0) {
                deflater.setDictionary(dictionary);
            }
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

    private static byte[] inflate(byte[] dictionary, byte[] encoded) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(encoded, HEADER_BYTES, encoded.length - HEADER_BYTES);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && inflater.needsDictionary()) {
                    inflater.setDictionary(dictionary);
                } else if (count == 0 && inflater.needsInput() && !inflater.finished()) {
                    throw new DataFormatException("the compressed bytes end early");
                }
                out.write(buffer, 0, count);
                if (out.size() > MAX_VALUE_BYTES) {
                    throw new DataFormatException("the value is too long");
                }
            }
            return out.toByteArray();
        } finally {
            inflater.end();
        }
    }
}
