package org.hyssopswitch.core.failure;

/**
 * A failure that is returned as a value, usually as the left side of an {@code Either}.
 *
 * <p>Each package declares its own records; failures that are reported to a caller are {@linkplain Refusal refusals}.
 */
public interface Failure {

    /** Returns one line that names what failed and the offending value; it contains no secrets. */
    String describe();
}
