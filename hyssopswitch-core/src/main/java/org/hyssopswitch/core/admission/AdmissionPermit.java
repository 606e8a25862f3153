package org.hyssopswitch.core.admission;

/** The token that was taken for an admitted operation. */
@FunctionalInterface
public interface AdmissionPermit {

    /** The permit of an operation for which no token was taken. */
    AdmissionPermit NONE = nowMillis -> {};

    /**
     * Gives the token back, because the operation was refused before anything of it was sent to an endpoint. Further calls
     * have no effect.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    void giveBack(long nowMillis);
}
