package org.hyssopswitch.core.configuration;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.engine.PlatformFailure;

/** The one call to the platform that a VM has open, and the delay of the next after a failure. */
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

    /** Opens the call unless one is open or the delay has not passed. */
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

    /** Takes the answer of the open call; false when it belongs to another. */
    boolean closeCall(long call) {
        if (!callOpen || call != openCallNumber) {
            return false;
        }
        callOpen = false;
        return true;
    }

    /** When the call that was answered last was sent. */
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
