package org.hyssopswitch.core.configuration;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * Pulls the subtrees of a higher version from a peer, page by page, and hands them over when they are whole.
 *
 * <p>Pages are in order of version, so another peer can go on where one has failed. A sender knows only the latest
 * version of each subtree; the pages are therefore whole only when they reach the highest version that any sender of
 * them had.
 */
final class SubtreeFetcher {

    private static final int MAX_SOURCES = 64;

    private final SubtreeStore store;
    private final ConfigurationSettings settings;
    private final RandomGenerator random;
    private final Map<VmAddress, Long> sources = new LinkedHashMap<>();
    private final Map<TeamId, Subtree> staged = new HashMap<>();
    private long cursor;
    private long targetVersion;
    private long highestAnnouncedVersion;
    private boolean withoutBase;
    private VmAddress awaitedPeer;
    private long sequence;
    private long requestSentMillis;
    private long notBeforeMillis;

    SubtreeFetcher(SubtreeStore store, ConfigurationSettings settings, RandomGenerator random) {
        this.store = store;
        this.settings = settings;
        this.random = random;
    }

    /** The highest version that a peer has announced. */
    long highestAnnouncedVersion() {
        return highestAnnouncedVersion;
    }

    /** Whether a peer that has not failed since has announced a higher version than the one in force. */
    boolean isBehind() {
        return sources.values().stream().anyMatch(v -> v > store.version());
    }

    /** Remembers that a peer has a version. */
    void recordVersion(VmAddress from, long version) {
        highestAnnouncedVersion = Math.max(highestAnnouncedVersion, version);
        if (version <= store.version()) {
            return;
        }
        sources.remove(from);
        sources.put(from, version);
        if (sources.size() > MAX_SOURCES) {
            sources.remove(sources.keySet().iterator().next());
        }
    }

    /** Asks a peer when one is known to have a higher version and no answer is awaited. */
    void tick(long nowMillis, Outbox out) {
        if (awaitedPeer != null && nowMillis - requestSentMillis > settings.answerTimeoutMillis()) {
            sources.remove(awaitedPeer);
            awaitedPeer = null;
        }
        if (awaitedPeer != null || nowMillis < notBeforeMillis) {
            return;
        }
        sources.values().removeIf(v -> v <= store.version());
        chooseSource().ifPresent(s -> sendRequest(s, nowMillis, out));
    }

    void removeSource(VmAddress to) {
        sources.remove(to);
        if (to.equals(awaitedPeer)) {
            awaitedPeer = null;
        }
    }

    /** Takes a page; gives the staged subtrees and their version when they are whole. */
    Option<CompleteVersion> handlePage(VmAddress from, ConfigurationPage page, long nowMillis, Outbox out) {
        if (!from.equals(awaitedPeer) || page.sequence() != sequence) {
            return Option.none();
        }
        awaitedPeer = null;
        if (page.retryAfterMillis() > 0) {
            notBeforeMillis = nowMillis + random.nextLong(page.retryAfterMillis() + 1);
            return Option.none();
        }
        if (!stageChanges(page)) {
            retryWithoutBase(from, nowMillis, out);
            return Option.none();
        }
        return advance(from, page, nowMillis, out);
    }

    /** Forgets what is staged, because another version came into force meanwhile. */
    void reset() {
        staged.clear();
        cursor = 0;
        targetVersion = 0;
        withoutBase = false;
        awaitedPeer = null;
    }

    /** The base was another than the sender thought; a whole value that cannot be read ends the source. */
    private void retryWithoutBase(VmAddress from, long nowMillis, Outbox out) {
        boolean wasWithoutBase = withoutBase;
        reset();
        if (wasWithoutBase) {
            sources.remove(from);
            return;
        }
        withoutBase = true;
        sendRequest(from, nowMillis, out);
    }

    private Option<CompleteVersion> advance(VmAddress from, ConfigurationPage page, long nowMillis, Outbox out) {
        cursor = Math.max(cursor, page.upToVersion());
        targetVersion = Math.max(targetVersion, page.senderVersion());
        if (page.isLast() && cursor >= targetVersion) {
            CompleteVersion result = new CompleteVersion(List.copyOf(staged.values()), cursor);
            reset();
            return Option.of(result);
        }
        if (page.isLast()) {
            sources.remove(from);
        } else {
            sendRequest(from, nowMillis, out);
        }
        return Option.none();
    }

    private void sendRequest(VmAddress source, long nowMillis, Outbox out) {
        sequence++;
        awaitedPeer = source;
        requestSentMillis = nowMillis;
        long after = Math.max(cursor, store.version());
        out.add(new Action.SendMessage(
                source, new ConfigurationRequest(sequence, store.version(), after, withoutBase)));
    }

    /** A random one among the sources of the highest version. */
    private Optional<VmAddress> chooseSource() {
        long best = sources.values().stream().mapToLong(v -> v).max().orElse(0);
        List<VmAddress> candidates = sources.entrySet().stream()
                .filter(e -> e.getValue() == best)
                .map(Map.Entry::getKey)
                .toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private boolean stageChanges(ConfigurationPage page) {
        for (SubtreeChange change : page.changes()) {
            Optional<byte[]> value = decodeChange(change);
            if (value.isEmpty()) {
                return false;
            }
            staged.merge(
                    change.team(),
                    new Subtree(change.team(), change.version(), value.get()),
                    (a, b) -> a.version() >= b.version() ? a : b);
        }
        return true;
    }

    private Optional<byte[]> decodeChange(SubtreeChange change) {
        if (change.encoded().length == 0) {
            return Optional.of(Subtree.NO_VALUE);
        }
        if (change.baseVersion() == 0) {
            return SubtreeDelta.decode(Subtree.NO_VALUE, change.encoded());
        }
        return store.value(change.team(), change.baseVersion())
                .flatMap(base -> SubtreeDelta.decode(base, change.encoded()));
    }

    /** The subtrees that make a whole version. */
    record CompleteVersion(Collection<Subtree> subtrees, long version) {}
}
