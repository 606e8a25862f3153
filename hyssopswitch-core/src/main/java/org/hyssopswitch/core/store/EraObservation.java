package org.hyssopswitch.core.store;

/** What the era that an answer of the store reports says about the answer. */
public sealed interface EraObservation {

    /**
     * The answer is of the latest known era.
     *
     * @param previous the latest era known before, -1 if none was
     * @param era the era, 0 where the store reports none
     */
    record Accepted(long previous, long era) implements EraObservation {

        /** Whether the store has come back from a copy since the previous answer. */
        public boolean advanced() {
            return previous >= 0 && era > previous;
        }
    }

    /**
     * The answer is of an era that has ended and must be discarded.
     *
     * @param latest the latest known era
     * @param reported the era of the answer
     */
    record Outdated(long latest, long reported) implements EraObservation {}

    /**
     * The store has reported eras before, but none can be read from this answer.
     *
     * @param latest the latest known era
     * @param reported what the answer reports
     */
    record Unreadable(long latest, String reported) implements EraObservation {}
}
