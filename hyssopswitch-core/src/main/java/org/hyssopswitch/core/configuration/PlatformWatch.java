package org.hyssopswitch.core.configuration;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.engine.PlatformFailure;

/** The watch of teams' objects on the platform: at most one call is pending, and failures are retried with backoff. */
final class PlatformWatch {

    static final String TEAMS_PATH_PREFIX = "config/teams/";

    private final ConfigurationSettings settings;
    private final LongSupplier callNumbers;
    private final RandomGenerator random;
    private long openCallNumber;
    private boolean callOpen;
    private long lastSentMillis;
    private long retryDelayMillis;
    private long notBeforeMillis;

    PlatformWatch(ConfigurationSettings settings, LongSupplier callNumbers, RandomGenerator random) {
        this.settings = settings;
        this.callNumbers = callNumbers;
        this.random = random;
    }

    /** Sends a watch unless one is pending or the retry delay has not passed. */
    void openIfDue(long afterVersion, long nowMillis, Outbox out) {
        if (isOpen(nowMillis) || nowMillis < notBeforeMillis) {
            return;
        }
        openCallNumber = callNumbers.getAsLong();
        callOpen = true;
        lastSentMillis = nowMillis;
        out.add(new Action.WatchPrefix(openCallNumber, TEAMS_PATH_PREFIX, afterVersion));
    }

    boolean isOpen(long nowMillis) {
        return callOpen && nowMillis - lastSentMillis < settings.watchTimeoutMillis();
    }

    /** Marks the pending call as answered; returns false if the answer belongs to another call. */
    boolean closeCall(long call) {
        if (!callOpen || call != openCallNumber) {
            return false;
        }
        callOpen = false;
        return true;
    }

    /** Returns when the last call was sent. */
    long lastSentMillis() {
        return lastSentMillis;
    }

    void recordSuccess() {
        retryDelayMillis = 0;
    }

    void recordFailure(PlatformFailure failure, long nowMillis) {
        retryDelayMillis = retryDelayMillis == 0
                ? settings.minRetryDelayMillis()
                : Math.min(settings.maxRetryDelayMillis(), retryDelayMillis * 2);
        long requestedDelayMillis =
                failure instanceof PlatformFailure.Throttled throttled ? throttled.retryAfterMillis() : 0;
        notBeforeMillis =
                nowMillis + requestedDelayMillis + retryDelayMillis / 2 + random.nextLong(retryDelayMillis / 2 + 1);
    }
}
