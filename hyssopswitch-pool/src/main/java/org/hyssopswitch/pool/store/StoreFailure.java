package org.hyssopswitch.pool.store;

import org.hyssopswitch.core.failure.Failure;

/** Reason for which a call to the store failed. */
public sealed interface StoreFailure extends Failure {

    /**
     * The store did not answer, or reported that nothing was done; a write without an answer may still take effect.
     *
     * @param reason what was observed
     */
    record Unavailable(String reason) implements StoreFailure {
        @Override
        public String describe() {
            return "the store is unavailable: " + reason;
        }
    }

    /** The store no longer keeps the changes since the requested revision. */
    record HistoryGone() implements StoreFailure {
        @Override
        public String describe() {
            return "the store no longer keeps the requested history";
        }
    }

    /**
     * The store has come back from a copy since the position that the call used; whether a write took effect is
     * unknown.
     *
     * @param previous era of the position
     * @param current era of the store
     */
    record EraChanged(long previous, long current) implements StoreFailure {
        @Override
        public String describe() {
            return "the store has changed from era " + previous + " to " + current;
        }
    }

    /**
     * The answer is of an era that has ended.
     *
     * @param latest the latest known era
     * @param reported era of the answer
     */
    record OutdatedEra(long latest, long reported) implements StoreFailure {
        @Override
        public String describe() {
            return "the answer is of era " + reported + ", but the store has reached era " + latest;
        }
    }

    /**
     * What the store answered could not be applied.
     *
     * @param reason the exception
     */
    record NotApplied(String reason) implements StoreFailure {
        @Override
        public String describe() {
            return "the answer of the store could not be applied: " + reason;
        }
    }

    /** The object was changed, exists already or does not exist. */
    record Conflict() implements StoreFailure {
        @Override
        public String describe() {
            return "the object is not at the expected revision";
        }
    }
}
