package org.hyssopswitch.core.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * Keeps a VM from becoming ready until it has queried every live member of its cell and has the highest version that a
 * peer announced.
 *
 * <p>A version without a recent confirmation by the platform is served only after a delay, during which the VM watches
 * the platform; after it, neither a reachable peer nor a reachable platform has a later version.
 */
final class StartupGate {

    private static final long UNCONFIRMED_DELAY_MILLIS = 3_000;
    private static final long MAX_CONFIRMED_AGE_MILLIS = 15_000;
    private static final long ANSWERED = Long.MIN_VALUE;

    private final long answerTimeoutMillis;
    private final Map<VmAddress, Long> queriedMillis = new HashMap<>();
    private long startMillis = Long.MIN_VALUE;
    private boolean ready;

    StartupGate(long answerTimeoutMillis) {
        this.answerTimeoutMillis = answerTimeoutMillis;
    }

    boolean isReady() {
        return ready;
    }

    /** Records the time of the first tick. */
    void start(long nowMillis) {
        if (startMillis == Long.MIN_VALUE) {
            startMillis = nowMillis;
        }
    }

    /** Marks members as queried and returns those that were not queried before. */
    List<VmAddress> markQueried(List<VmAddress> members, long nowMillis) {
        return members.stream()
                .filter(m -> queriedMillis.putIfAbsent(m, nowMillis) == null)
                .toList();
    }

    /** Records that a member has answered or is unreachable. */
    void markAnswered(VmAddress member) {
        if (!ready) {
            queriedMillis.put(member, ANSWERED);
        }
    }

    /** Whether to watch the platform directly, because no member has a version with a recent confirmation. */
    boolean shouldQueryPlatform(long ageMillis, long nowMillis) {
        return !ready && ageMillis > MAX_CONFIRMED_AGE_MILLIS && nowMillis - startMillis >= answerTimeoutMillis / 2;
    }

    /** Whether a relay may watch the platform: a VM without a version waits for its peers first. */
    boolean mayWatch(long version, long nowMillis) {
        return ready || version > 0 || nowMillis - startMillis >= answerTimeoutMillis / 2;
    }

    void updateReadiness(long version, boolean behind, long ageMillis, long nowMillis) {
        if (ready || version == 0 || behind || hasPendingQuery(nowMillis)) {
            return;
        }
        ready = ageMillis <= MAX_CONFIRMED_AGE_MILLIS || nowMillis - startMillis >= UNCONFIRMED_DELAY_MILLIS;
        if (ready) {
            queriedMillis.clear();
        }
    }

    private boolean hasPendingQuery(long nowMillis) {
        return queriedMillis.values().stream().anyMatch(t -> t != ANSWERED && nowMillis - t < answerTimeoutMillis);
    }
}
