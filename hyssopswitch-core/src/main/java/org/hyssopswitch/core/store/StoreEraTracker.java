package org.hyssopswitch.core.store;

import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the latest era that the store has reported to this VM.
 *
 * <p>The era rises by one each time the store comes back from a copy, which lacks its latest acknowledged writes.
 * Listeners are notified of a higher era before the answer that reports it is used. A store that has never reported an
 * era is taken to be in era 0 throughout.
 */
public final class StoreEraTracker {

    private static final long UNKNOWN = -1;

    private final List<Listener> listeners = new ArrayList<>();
    private long latest = UNKNOWN;

    /**
     * Adds a listener.
     *
     * @param listener notified of each later era, but not of the first one
     */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Returns the latest known era; 0 while none is known. */
    public long current() {
        return Math.max(0, latest);
    }

    /**
     * Evaluates the era that an answer of the store reports.
     *
     * @param reported the values that the answer reports; more than one, or one that is not a number, cannot be read
     */
    public EraObservation observe(List<String> reported) {
        Option<Long> era = parse(reported);
        if (era.isDefined()) {
            return observe(era.get());
        }
        if (latest > 0) {
            return new EraObservation.Unreadable(latest, reported.toString());
        }
        long previous = latest;
        latest = 0;
        return new EraObservation.Accepted(previous, 0);
    }

    /**
     * Evaluates the era of what another VM has read from the store.
     *
     * @param era the era, 0 where the store reports none
     */
    public EraObservation observe(long era) {
        if (era < latest) {
            return new EraObservation.Outdated(latest, era);
        }
        long previous = latest;
        latest = era;
        if (previous != UNKNOWN && era > previous) {
            listeners.forEach(listener -> listener.eraAdvanced(previous, era));
        }
        return new EraObservation.Accepted(previous, era);
    }

    private static Option<Long> parse(List<String> reported) {
        return reported.isEmpty() || reported.stream().distinct().count() > 1
                ? Option.none()
                : Try.of(() -> Long.parseLong(reported.get(0).trim()))
                        .filter(era -> era >= 0)
                        .toOption();
    }

    /** Is notified when the store has come back from a copy. */
    @FunctionalInterface
    public interface Listener {

        /**
         * The store has come back from a copy: positions of former eras are void, and acknowledged writes may be lost.
         *
         * @param previous the latest era known before
         * @param era the era from now on
         */
        void eraAdvanced(long previous, long era);
    }
}
