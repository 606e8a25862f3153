package org.hyssopswitch.core.configuration;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.engine.PlatformFailure;

/** The one call to the platform that a VM has open, and the delay of the next after a failure. */
final class PlatformWatch {

    static final String PREFIX = "config/teams/";

    private final ConfigurationSettings settings;
    private final LongSupplier numbers;
    private final RandomGenerator random;
    private long openCall;
    private boolean open;
    private long sentMillis;
    private long delayMillis;
    private long notBeforeMillis;

    PlatformWatch(ConfigurationSettings settings, LongSupplier numbers, RandomGenerator random) {
        this.settings = settings;
        this.numbers = numbers;
        this.random = random;
    }

    /** Opens the call unless one is open or the delay has not passed. */
    void openIfDue(long afterVersion, long nowMillis, Outbox out) {
        if (isOpen(nowMillis) || nowMillis < notBeforeMillis) {
            return;
        }
        openCall = numbers.getAsLong();
        open = true;
        sentMillis = nowMillis;
        out.add(new Action.WatchPrefix(openCall, PREFIX, afterVersion));
    }

    boolean isOpen(long nowMillis) {
        return open && nowMillis - sentMillis < settings.watchTimeoutMillis();
    }

    /** Takes the answer of the open call; false when it belongs to another. */
    boolean closeCall(long call) {
        if (!open || call != openCall) {
            return false;
        }
        open = false;
        return true;
    }

    /** When the call that was answered last was sent. */
    long lastSentMillis() {
        return sentMillis;
    }

    void recordSuccess() {
        delayMillis = 0;
    }

    void recordFailure(PlatformFailure failure, long nowMillis) {
        delayMillis =
                delayMillis == 0 ? settings.minRetryMillis() : Math.min(settings.maxRetryMillis(), delayMillis * 2);
        long asked = failure instanceof PlatformFailure.Throttled throttled ? throttled.retryAfterMillis() : 0;
        notBeforeMillis = nowMillis + asked + delayMillis / 2 + random.nextLong(delayMillis / 2 + 1);
    }
}
