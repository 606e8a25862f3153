package org.hyssopswitch.standin.platform;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The faults of the platform, to be switched on and off. Thread-safe. */
public final class PlatformFaults {

    private static final Logger LOG = LogManager.getLogger(PlatformFaults.class);

    private final Set<String> cut = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private volatile Outage outage = Outage.NONE;
    private volatile long slowMillis;
    private volatile int callsPerSecond;

    PlatformFaults(int callsPerSecond) {
        this.callsPerSecond = callsPerSecond;
    }

    /** How the platform is down. */
    public enum Outage {
        /** It works. */
        NONE,
        /** Every call is answered with status 503 and has no effect. */
        REFUSING,
        /** Calls get no answer and have no effect; their connections stay open. */
        SILENT
    }

    /**
     * Starts or ends an outage.
     *
     * @param value the outage
     */
    public void setOutage(Outage value) {
        outage = value;
        LOG.info("event=fault_set fault=outage value={}", value);
    }

    /**
     * Delays every answer; calls still take effect at once.
     *
     * @param millis milliseconds, 0 or more
     */
    public void setSlowMillis(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("the delay must not be negative, but is " + millis);
        }
        slowMillis = millis;
        LOG.info("event=fault_set fault=slow millis={}", millis);
    }

    /**
     * Loses the answers of the next updates that take effect.
     *
     * @param count number of answers, 0 or more
     */
    public void loseAnswers(int count) {
        if (count < 0) {
            throw new IllegalArgumentException("the number of answers must not be negative, but is " + count);
        }
        answersToLose.set(count);
        LOG.info("event=fault_set fault=lose_answers count={}", count);
    }

    /**
     * Bounds the calls answered in a second.
     *
     * @param calls the bound; 0 for none
     */
    public void setCallsPerSecond(int calls) {
        if (calls < 0) {
            throw new IllegalArgumentException("the bound must not be negative, but is " + calls);
        }
        callsPerSecond = calls;
        LOG.info("event=fault_set fault=throttle calls_per_second={}", calls);
    }

    /**
     * Cuts a client off: its calls get no answer and have no effect.
     *
     * @param credentialName name of the client's credential
     */
    public void cut(String credentialName) {
        cut.add(credentialName);
        LOG.info("event=fault_set fault=cut client={}", credentialName);
    }

    /** Reconnects all clients. */
    public void heal() {
        cut.clear();
        LOG.info("event=fault_set fault=heal");
    }

    Outage outage() {
        return outage;
    }

    long slowMillis() {
        return slowMillis;
    }

    int callsPerSecond() {
        return callsPerSecond;
    }

    boolean cutOff(String credentialName) {
        return cut.contains(credentialName);
    }

    /** Whether the answer of an update that has taken effect is lost. */
    boolean losesAnswer() {
        return answersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
