package org.hyssopswitch.core.retry;

/**
 * An attempt to run a statement that ended without a response.
 *
 * @param number number of the attempt, from 1
 * @param repeatable whether the statement may run more than once: a read, or declared as repeatable
 * @param mayHaveRun whether a byte of the statement was sent to an endpoint that did not refuse it before execution
 * @param deadline when the statement times out
 */
public record FailedAttempt(int number, boolean repeatable, boolean mayHaveRun, Deadline deadline) {

    /** Checks the number. */
    public FailedAttempt {
        if (number < 1) {
            throw new IllegalArgumentException("the number of an attempt must be 1 or more, but is " + number);
        }
    }
}
