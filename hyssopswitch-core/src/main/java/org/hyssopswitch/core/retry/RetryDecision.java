package org.hyssopswitch.core.retry;

import org.hyssopswitch.core.failure.Execution;

/** What to do after a failed attempt. */
public sealed interface RetryDecision {

    /**
     * Try again, elsewhere if possible.
     *
     * @param delayMillis milliseconds to wait first
     */
    record Retry(long delayMillis) implements RetryDecision {}

    /**
     * Report the failure to the caller.
     *
     * @param execution what may truthfully be said of the statement
     */
    record Report(Execution execution) implements RetryDecision {}
}
