package org.hyssopswitch.core.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hyssopswitch.core.identity.TeamId;

/**
 * The subtrees of the version in force, and older values of some subtrees, which serve as bases for encoding newer
 * ones.
 *
 * <p>Removed subtrees are kept as tombstones without a value, so that their removal reaches other VMs.
 */
final class SubtreeStore {

    private static final int MAX_CACHED_ENCODINGS = 64;

    private final long maxOlderBytes;
    private final Map<TeamId, Subtree> byTeam = new HashMap<>();
    private final TreeMap<Long, Subtree> byVersion = new TreeMap<>();
    private final Map<SubtreeKey, byte[]> olderValues = new LinkedHashMap<>();
    private final Map<EncodedKey, byte[]> encodedValues = new LinkedHashMap<>();
    private long olderBytes;
    private long version;

    SubtreeStore(long maxOlderBytes) {
        this.maxOlderBytes = maxOlderBytes;
    }

    /** Returns the version in force. */
    long version() {
        return version;
    }

    /** Replaces subtrees by newer ones, which complete the new version; returns those that were applied. */
    List<Subtree> apply(Collection<Subtree> changes, long newVersion) {
        List<Subtree> applied = new ArrayList<>();
        for (Subtree change : changes) {
            Subtree current = byTeam.get(change.team());
            if (current == null || current.version() < change.version()) {
                replace(current, change);
                applied.add(change);
            }
        }
        version = Math.max(version, newVersion);
        return applied;
    }

    /** Returns the value of a team's subtree if that subtree currently has the given version. */
    Optional<byte[]> value(TeamId team, long ofVersion) {
        Subtree subtree = byTeam.get(team);
        return subtree != null && subtree.version() == ofVersion ? Optional.of(subtree.value()) : Optional.empty();
    }

    /** Creates a page of the subtrees that a VM lacks, which ends once it has the given number of encoded bytes. */
    ConfigurationPage createPage(ConfigurationRequest request, int maxBytes) {
        List<SubtreeChange> changes = new ArrayList<>();
        long upTo = request.afterVersion();
        int bytes = 0;
        for (Subtree subtree : byVersion.tailMap(request.afterVersion(), false).values()) {
            if (bytes >= maxBytes) {
                return new ConfigurationPage(request.sequence(), upTo, version, changes, 0);
            }
            SubtreeChange change = encodeChange(subtree, request);
            changes.add(change);
            bytes += change.encoded().length;
            upTo = subtree.version();
        }
        return new ConfigurationPage(request.sequence(), version, version, changes, 0);
    }

    private SubtreeChange encodeChange(Subtree subtree, ConfigurationRequest request) {
        if (subtree.value().length == 0) {
            return new SubtreeChange(subtree.team(), subtree.version(), 0, Subtree.NO_VALUE);
        }
        Optional<SubtreeKey> base =
                request.withoutBase() ? Optional.empty() : findBase(subtree, request.appliedVersion());
        long baseVersion = base.map(SubtreeKey::version).orElse(0L);
        byte[] baseValue = base.map(olderValues::get).orElse(Subtree.NO_VALUE);
        return new SubtreeChange(
                subtree.team(), subtree.version(), baseVersion, encodeCached(subtree, baseVersion, baseValue));
    }

    private byte[] encodeCached(Subtree subtree, long baseVersion, byte[] base) {
        EncodedKey key = new EncodedKey(new SubtreeKey(subtree.team(), subtree.version()), baseVersion);
        byte[] known = encodedValues.get(key);
        if (known != null) {
            return known;
        }
        byte[] result = SubtreeDelta.encode(base, subtree.value());
        encodedValues.put(key, result);
        if (encodedValues.size() > MAX_CACHED_ENCODINGS) {
            encodedValues.remove(encodedValues.keySet().iterator().next());
        }
        return result;
    }

    /** Finds the newest older value that a VM at the given version may have; the VM verifies it when decoding. */
    private Optional<SubtreeKey> findBase(Subtree subtree, long appliedVersion) {
        return olderValues.keySet().stream()
                .filter(k -> k.team().equals(subtree.team()) && k.version() <= appliedVersion)
                .max((a, b) -> Long.compare(a.version(), b.version()));
    }

    private void replace(Subtree current, Subtree change) {
        if (current != null) {
            byVersion.remove(current.version());
            retainOlder(current);
        }
        byTeam.put(change.team(), change);
        byVersion.put(change.version(), change);
    }

    private void retainOlder(Subtree subtree) {
        if (subtree.value().length == 0 || subtree.value().length > maxOlderBytes) {
            return;
        }
        olderValues.put(new SubtreeKey(subtree.team(), subtree.version()), subtree.value());
        olderBytes += subtree.value().length;
        while (olderBytes > maxOlderBytes) {
            SubtreeKey eldest = olderValues.keySet().iterator().next();
            olderBytes -= olderValues.remove(eldest).length;
        }
    }

    /** One version of a team's subtree. */
    private record SubtreeKey(TeamId team, long version) {}

    /** A version of a subtree that is encoded against a base version. */
    private record EncodedKey(SubtreeKey subtree, long baseVersion) {}
}
