package org.hyssopswitch.core.placement;

import java.util.Comparator;
import java.util.function.Function;

/** Rendezvous hashing: every pair of a key and a node has a score, and the node with the highest score comes first. */
public final class RendezvousUtils {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousUtils() {}

    /**
     * Returns the score of a node for a key, which is the same on every VM.
     *
     * @param key the key
     * @param node the node's name
     */
    public static long score(String key, String node) {
        return mix(mix(hash(key)) ^ hash(node));
    }

    /**
     * Returns a comparator that orders nodes by descending score for a key.
     *
     * @param <T> the type of the nodes
     * @param key the key
     * @param name returns the name of a node
     */
    public static <T> Comparator<T> byScore(String key, Function<T, String> name) {
        return Comparator.comparingLong((T node) -> score(key, name.apply(node)))
                .reversed()
                .thenComparing(name);
    }

    /** 64-bit FNV-1a over the characters of the text. */
    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
