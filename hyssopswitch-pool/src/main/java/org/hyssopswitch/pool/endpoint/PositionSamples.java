package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Log positions of a group's primary with the time by which each was certainly reached.
 *
 * <p>A sample is taken from an answer that only a primary gives. Every commit acknowledged before the question was sent
 * is at or below the position in the answer, so a log that holds the position misses nothing older than the question.
 */
final class PositionSamples {

    /** Samples closer together than this add nothing: accepted ages are a second and more. */
    private static final long MIN_SPACING_MILLIS = 25;

    /** Samples older than this are of no use to any accepted age seen on routes. */
    private static final long MAX_AGE_MILLIS = 60_000;

    private final Deque<Sample> samples = new ArrayDeque<>();
    private Option<LogPosition> termStart = Option.none();
    private long validFromMillis = Long.MIN_VALUE;

    /**
     * Adds a sample; samples of earlier terms than the latest are ignored.
     *
     * @param askedMillis time at which the question was sent, milliseconds of the monotonic clock
     * @param position the position in the answer
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
     * Forgets all samples, because their ages are no longer known, but not the term.
     *
     * @param nowMillis milliseconds of the monotonic clock; samples asked for earlier are ignored from now on
     */
    void discardSamples(long nowMillis) {
        samples.clear();
        validFromMillis = nowMillis;
    }

    /** The latest term seen; -1 before the first sample. */
    long term() {
        return termStart.map(LogPosition::term).getOrElse(-1L);
    }

    /** Time of the question of the latest sample, or nothing. */
    Option<Long> latestAskedMillis() {
        return Option.of(samples.peekLast()).map(Sample::askedMillis);
    }

    /**
     * The lowest position that misses no commit older than an accepted age; nothing when no sample is young enough.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @param stalenessMillis the accepted age, milliseconds
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
     * Replaces a position of an earlier term, which a promotion may have rolled back, by the first one known of the
     * latest term, which includes all that survived.
     *
     * @param floor the position
     */
    LogPosition toLatestTerm(LogPosition floor) {
        return floor.term() < term() ? termStart.get() : floor;
    }

    private record Sample(long askedMillis, LogPosition position) {}
}
