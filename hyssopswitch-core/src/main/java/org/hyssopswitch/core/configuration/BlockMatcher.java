package org.hyssopswitch.core.configuration;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds the byte ranges that a value shares with a base value. Blocks of the base are indexed by hash and looked up
 * with a rolling hash at every position of the value; a match is extended in both directions.
 */
final class BlockMatcher {

    private static final int BLOCK_BYTES = 24;
    private static final int HASH_FACTOR = 0x01000193;

    private final byte[] base;
    private final byte[] value;
    private final Map<Integer, Integer> offsetsByHash = new HashMap<>();
    private final int leadingFactor;

    BlockMatcher(byte[] base, byte[] value) {
        this.base = base;
        this.value = value;
        int factor = 1;
        for (int i = 1; i < BLOCK_BYTES; i++) {
            factor *= HASH_FACTOR;
        }
        this.leadingFactor = factor;
        for (int offset = 0; offset + BLOCK_BYTES <= base.length; offset += BLOCK_BYTES) {
            offsetsByHash.putIfAbsent(hashBlock(base, offset), offset);
        }
    }

    /** Writes a copy for each match, in ascending order; the writer covers the gaps with literals. */
    void writeMatches(DeltaWriter writer) {
        int position = 0;
        int hash = value.length >= BLOCK_BYTES ? hashBlock(value, 0) : 0;
        while (position + BLOCK_BYTES <= value.length) {
            int found = findInBase(position, hash, writer.copyShift());
            if (found < 0) {
                hash = rollHash(hash, position);
                position++;
                continue;
            }
            int lengthBefore = matchLengthBefore(found, position, position - writer.writtenBytes());
            int length = matchLengthAfter(found, position);
            writer.writeCopy(found - lengthBefore, position - lengthBefore, lengthBefore + length);
            position += length;
            hash = position + BLOCK_BYTES <= value.length ? hashBlock(value, position) : 0;
        }
    }

    /** Returns the offset in the base of the block at a position, or -1; prefers the continuation of the last copy. */
    private int findInBase(int position, int hash, int copyShift) {
        if (isBlockAt(position + copyShift, position)) {
            return position + copyShift;
        }
        Integer offset = offsetsByHash.get(hash);
        return offset != null && isBlockAt(offset, position) ? offset : -1;
    }

    private boolean isBlockAt(int offset, int position) {
        return offset >= 0
                && offset + BLOCK_BYTES <= base.length
                && Arrays.equals(base, offset, offset + BLOCK_BYTES, value, position, position + BLOCK_BYTES);
    }

    private int matchLengthAfter(int offset, int position) {
        int mismatch = Arrays.mismatch(base, offset, base.length, value, position, value.length);
        return mismatch < 0 ? value.length - position : mismatch;
    }

    private int matchLengthBefore(int offset, int position, int limit) {
        int length = 0;
        while (length < limit && length < offset && base[offset - 1 - length] == value[position - 1 - length]) {
            length++;
        }
        return length;
    }

    private int rollHash(int hash, int position) {
        int next = position + BLOCK_BYTES;
        return next < value.length ? (hash - value[position] * leadingFactor) * HASH_FACTOR + value[next] : 0;
    }

    private static int hashBlock(byte[] bytes, int offset) {
        int hash = 0;
        for (int i = offset; i < offset + BLOCK_BYTES; i++) {
            hash = hash * HASH_FACTOR + bytes[i];
        }
        return hash;
    }
}
