package org.hyssopswitch.core.retry;

import org.hyssopswitch.core.failure.Execution;

/** The decision after a failed attempt. */
public sealed interface RetryDecision {

    /**
     * Retry the statement, on another endpoint if possible.
     *
     * @param delayMillis milliseconds to wait before the retry
     */
    record Retry(long delayMillis) implements RetryDecision {}

    /**
     * Report the failure to the caller.
     *
     * @param execution what is known about the execution of the statement
     */
    record Report(Execution execution) implements RetryDecision {}
}
