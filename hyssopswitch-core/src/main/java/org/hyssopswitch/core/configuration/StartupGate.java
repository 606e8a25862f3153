package org.hyssopswitch.core.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * Holds a VM back until it has asked every live member of its cell and has the highest version that it heard of.
 *
 * <p>A version that the platform has not confirmed lately is served only after a delay, in which the platform was
 * asked: then no one that can be reached knows a later one.
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

    /** Begins at the first tick. */
    void start(long nowMillis) {
        if (startMillis == Long.MIN_VALUE) {
            startMillis = nowMillis;
        }
    }

    /** The members that are still to be asked; they count as asked from now on. */
    List<VmAddress> markQueried(List<VmAddress> members, long nowMillis) {
        return members.stream()
                .filter(m -> queriedMillis.putIfAbsent(m, nowMillis) == null)
                .toList();
    }

    /** A member answered or cannot be reached. */
    void markAnswered(VmAddress member) {
        if (!ready) {
            queriedMillis.put(member, ANSWERED);
        }
    }

    /** Whether the platform is to be asked directly, because no member has a version that it confirmed lately. */
    boolean shouldQueryPlatform(long ageMillis, long nowMillis) {
        return !ready && ageMillis > MAX_CONFIRMED_AGE_MILLIS && nowMillis - startMillis >= answerTimeoutMillis / 2;
    }

    /** Whether a relay may watch the platform: a VM without a version lets its peers answer first. */
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
