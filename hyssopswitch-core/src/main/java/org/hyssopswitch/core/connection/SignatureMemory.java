package org.hyssopswitch.core.connection;

import java.util.Arrays;

/** The signatures received on a connection, as hashes; 32 kB when the connection is retired for their number. */
final class SignatureMemory {

    /** Number of signatures at which the connection must be retired, so that none is ever forgotten. */
    private static final int MAX_SIGNATURES = 4_096;

    private static final int INITIAL_CAPACITY = 8;
    private static final long HASH_FACTOR = 0x100000001b3L;
    private static final long HASH_START = 0xcbf29ce484222325L;

    private long[] hashes = new long[INITIAL_CAPACITY];
    private int size;

    boolean contains(String signature) {
        long hash = hash(signature);
        for (int i = size - 1; i >= 0; i--) {
            if (hashes[i] == hash) {
                return true;
            }
        }
        return false;
    }

    void add(String signature) {
        if (size == hashes.length) {
            hashes = Arrays.copyOf(hashes, 2 * size);
        }
        hashes[size] = hash(signature);
        size++;
    }

    boolean isFull() {
        return size >= MAX_SIGNATURES;
    }

    /** Returns the 64-bit FNV-1a hash; two signatures of a connection share one with negligible probability. */
    private static long hash(String signature) {
        long hash = HASH_START;
        for (int i = 0; i < signature.length(); i++) {
            hash = (hash ^ signature.charAt(i)) * HASH_FACTOR;
        }
        return hash;
    }
}
