package org.hyssopswitch.load;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.hyssopswitch.load.audit.Outcome;
import org.hyssopswitch.load.profile.AccountProfile;
import org.hyssopswitch.load.report.AccountReport;

/** Counts and latencies of one client account. Thread-safe. */
final class AccountMeter {

    private static final long MAX_LATENCY_MICROS = 600_000_000;
    private static final int DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;

    private final AccountProfile account;
    private final RateMeter rate;
    private final Histogram latencyMicros = new Histogram(1, MAX_LATENCY_MICROS, DIGITS);
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private long wrongful;
    private long notSent;

    AccountMeter(AccountProfile account, long nowNanos) {
        this.account = account;
        this.rate = new RateMeter(account.ratePerSecond(), account.burst(), nowNanos);
    }

    RateMeter rate() {
        return rate;
    }

    /**
     * Notes the end of an operation.
     *
     * @param intendedNanos time at which it arrived, which may be before it could be sent
     * @param withinRate whether its first statement was within rate and burst
     */
    synchronized void ended(Outcome outcome, boolean withinRate, long intendedNanos, long nowNanos) {
        outcomes.merge(outcome, 1L, Long::sum);
        if (outcome == Outcome.RATE_REFUSED) {
            rate.refused();
            wrongful += withinRate ? 1 : 0;
        }
        if (outcome == Outcome.ACKNOWLEDGED) {
            long micros = (nowNanos - intendedNanos) / NANOS_PER_MICRO;
            latencyMicros.recordValue(Math.max(1, Math.min(MAX_LATENCY_MICROS, micros)));
        }
    }

    /** Notes an operation that was dropped because the session's queue was full. */
    synchronized void notSent() {
        notSent++;
    }

    synchronized AccountReport report() {
        return new AccountReport(account.name(), outcomes, wrongful, notSent, latencyMicros.copy());
    }
}
