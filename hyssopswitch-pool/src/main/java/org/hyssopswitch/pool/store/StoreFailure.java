package org.hyssopswitch.pool.store;

import org.hyssopswitch.core.failure.Failure;

/** Why a call to the store gave no result. */
public sealed interface StoreFailure extends Failure {

    /**
     * No answer, or one that says that nothing was done; an update without an answer may still be made.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements StoreFailure {
        @Override
        public String describe() {
            return "the store is unavailable: " + reason;
        }
    }

    /** The requested history is no longer kept. */
    record HistoryGone() implements StoreFailure {
        @Override
        public String describe() {
            return "the store no longer keeps the requested history";
        }
    }

    /** The object has changed, exists already, or does not exist. */
    record Conflict() implements StoreFailure {
        @Override
        public String describe() {
            return "the object is not at the expected revision";
        }
    }
}
