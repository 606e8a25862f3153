package org.hyssopswitch.core.failure;

/**
 * A failure that is carried as a value, usually on the left of an {@code Either}.
 *
 * <p>Feature packages declare their own records; those that reach a caller implement {@link Refusal}.
 */
public interface Failure {

    /** Says what failed and the value, in one line and without secrets. */
    String describe();
}
