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
 * Fetches the subtrees of a higher version from a peer, page by page, and returns them once they form a complete
 * version.
 *
 * <p>Pages are in ascending order of version, so another peer can continue where one has failed. A sender has only the
 * latest version of each subtree; the pages are therefore complete only when they reach the highest version that any of
 * their senders had.
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

    /** Returns the highest version that any peer has announced. */
    long highestAnnouncedVersion() {
        return highestAnnouncedVersion;
    }

    /** Whether a peer that has not failed since its announcement has a higher version than the one in force. */
    boolean isBehind() {
        return sources.values().stream().anyMatch(v -> v > store.version());
    }

    /** Records the version that a peer has in force; a peer with a higher version than this VM becomes a source. */
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

    /** Requests a page when a peer has a higher version and no request is pending; times out a pending request. */
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

    /** Stages the changes of a page; returns the staged subtrees and their version once they are complete. */
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

    /** Discards the staged subtrees and the pending request, for example because another version came into force. */
    void reset() {
        staged.clear();
        cursor = 0;
        targetVersion = 0;
        withoutBase = false;
        awaitedPeer = null;
    }

    /**
     * Starts over without bases after a value could not be decoded, because the sender assumed another base than this
     * VM has. A value that cannot be decoded without a base either removes the source.
     */
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

    /** Returns a random source among those with the highest version. */
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

    /** The changed subtrees that complete a version. */
    record CompleteVersion(Collection<Subtree> subtrees, long version) {}
}
