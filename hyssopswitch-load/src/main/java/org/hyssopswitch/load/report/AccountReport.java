package org.hyssopswitch.load.report;

import java.util.Map;
import org.HdrHistogram.Histogram;
import org.hyssopswitch.load.audit.Outcome;

/**
 * What one client account experienced.
 *
 * @param account name of the client account
 * @param outcomes operations by outcome
 * @param wrongful operations refused for their rate although within rate and burst by the generator's count
 * @param notSent operations dropped by the generator because the queue of their session was full
 * @param latencyMicros latencies of acknowledged operations in microseconds, from their arrival
 */
public record AccountReport(
        String account, Map<Outcome, Long> outcomes, long wrongful, long notSent, Histogram latencyMicros) {

    private static final double MICROS_PER_MILLI = 1_000;

    /** Copies the map. */
    public AccountReport {
        outcomes = Map.copyOf(outcomes);
    }

    /**
     * Operations with an outcome.
     *
     * @param outcome the outcome
     */
    public long count(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    /** Operations that arrived. */
    public long arrived() {
        return outcomes.values().stream().mapToLong(Long::longValue).sum() + notSent;
    }

    /** Share of the operations that arrived that were acknowledged; 1 when none arrived. */
    public double successShare() {
        return arrived() == 0 ? 1 : (double) count(Outcome.ACKNOWLEDGED) / arrived();
    }

    /**
     * A percentile of the latency in milliseconds.
     *
     * @param percentile 0 to 100
     */
    public double latencyMillis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
