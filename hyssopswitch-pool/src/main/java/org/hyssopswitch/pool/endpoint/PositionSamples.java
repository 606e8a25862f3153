package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Samples of the log position of a group's primary, each with the time at which it was queried.
 *
 * <p>A sample is taken from a reply that only a primary gives. Every commit acknowledged before the query was sent is
 * at or below the position in the reply, so a log that contains the position lacks no commit older than the query.
 */
final class PositionSamples {

    /** Minimum time between samples, milliseconds; closer ones add nothing, as accepted staleness is 1 s or more. */
    private static final long MIN_SPACING_MILLIS = 25;

    /** Maximum age of samples, milliseconds; it exceeds the accepted staleness of all routes seen. */
    private static final long MAX_AGE_MILLIS = 60_000;

    private final Deque<Sample> samples = new ArrayDeque<>();
    private Option<LogPosition> termStart = Option.none();
    private long validFromMillis = Long.MIN_VALUE;

    /**
     * Adds a sample; samples of terms before the latest are ignored.
     *
     * @param askedMillis time at which the query was sent, milliseconds of the monotonic clock
     * @param position the log position in the reply
     */
    void add(long askedMillis, LogPosition position) {
        long term = term();
        if (position.term() < term || askedMillis < validFromMillis) {
            return;
        }
        if (position.term() > term) {
            samples.clear();
            termStart = Option.some(position);
        }
        Sample last = samples.peekLast();
        if (last != null && askedMillis < last.askedMillis() + MIN_SPACING_MILLIS) {
            return;
        }
        samples.addLast(new Sample(
                askedMillis, last == null ? position : last.position().max(position)));
        while (samples.peekFirst().askedMillis() < askedMillis - MAX_AGE_MILLIS) {
            samples.removeFirst();
        }
    }

    /**
     * Discards all samples, because their ages are no longer known, but keeps the term.
     *
     * @param nowMillis current time of the monotonic clock, milliseconds; earlier queries are ignored from now on
     */
    void discardSamples(long nowMillis) {
        samples.clear();
        validFromMillis = nowMillis;
    }

    /** Returns the latest term seen; -1 before the first sample. */
    long term() {
        return termStart.map(LogPosition::term).getOrElse(-1L);
    }

    /** Returns the time at which the latest sample was queried, if there is one. */
    Option<Long> latestAskedMillis() {
        return Option.of(samples.peekLast()).map(Sample::askedMillis);
    }

    /**
     * Returns the lowest known position that lacks no commit older than the accepted staleness, or nothing if no sample
     * is recent enough.
     *
     * @param nowMillis current time of the monotonic clock, milliseconds
     * @param stalenessMillis accepted staleness, milliseconds
     */
    Option<LogPosition> floor(long nowMillis, long stalenessMillis) {
        for (Sample sample : samples) {
            if (sample.askedMillis() >= nowMillis - stalenessMillis) {
                return Option.some(sample.position());
            }
        }
        return Option.none();
    }

    /**
     * Translates a position of an earlier term, whose commits a promotion may have discarded, to the first known
     * position of the latest term, which includes all surviving commits. Other positions are returned unchanged.
     *
     * @param floor the log position
     */
    LogPosition toLatestTerm(LogPosition floor) {
        return floor.term() < term() ? termStart.get() : floor;
    }

    private record Sample(long askedMillis, LogPosition position) {}
}
