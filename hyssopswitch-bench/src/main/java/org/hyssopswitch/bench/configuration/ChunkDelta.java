package org.hyssopswitch.bench.configuration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A value as references to chunks of an older one and literals, after J. Barreto and P. Ferreira, "Efficient Locally
 * Trackable Deduplication in Replicated Systems": chunks are cut where a rolling hash of the content says so, and
 * references to consecutive chunks are joined.
 *
 * @param baseChunks chunks of the older value
 * @param references references after joining
 * @param literalBytes bytes of literals
 */
record ChunkDelta(int baseChunks, int references, int literalBytes) {

    private static final int REFERENCE_BYTES = 8;
    private static final int WINDOW_BYTES = 16;
    private static final int CUT_MASK = 127;
    private static final int MIN_CHUNK_BYTES = 32;

    static ChunkDelta between(byte[] base, byte[] value) {
        Map<String, Integer> known = new HashMap<>();
        List<byte[]> baseChunks = chunks(base);
        for (int i = 0; i < baseChunks.size(); i++) {
            known.put(text(baseChunks.get(i)), i);
        }
        int references = 0;
        int literalBytes = 0;
        int expected = -1;
        for (byte[] chunk : chunks(value)) {
            Integer index = known.get(text(chunk));
            if (index == null) {
                literalBytes += chunk.length;
                expected = -1;
            } else {
                references += index == expected ? 0 : 1;
                expected = index + 1;
            }
        }
        return new ChunkDelta(baseChunks.size(), references, literalBytes);
    }

    int bytes() {
        return references * REFERENCE_BYTES + literalBytes;
    }

    private static List<byte[]> chunks(byte[] bytes) {
        List<byte[]> result = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            boolean cut = i - start >= MIN_CHUNK_BYTES && (hash(bytes, i) & CUT_MASK) == 0;
            if (cut || i == bytes.length - 1) {
                result.add(java.util.Arrays.copyOfRange(bytes, start, i + 1));
                start = i + 1;
            }
        }
        return result;
    }

    private static int hash(byte[] bytes, int end) {
        int hash = 0;
        for (int i = end - WINDOW_BYTES + 1; i <= end; i++) {
            hash = hash * 0x01000193 + bytes[i];
        }
        return hash ^ (hash >>> 15);
    }

    private static String text(byte[] chunk) {
        return new String(chunk, StandardCharsets.ISO_8859_1);
    }
}
