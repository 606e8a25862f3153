package org.hyssopswitch.core.admission;

/** Receives the decision on one operation. */
public interface AdmissionListener {

    /**
     * The operation may run.
     *
     * @param permit the token taken for it, to be given back if nothing of the operation is sent to an endpoint
     */
    void admitted(AdmissionPermit permit);

    /**
     * The client account exceeds its rate.
     *
     * @param retryAfterMillis milliseconds after which an operation is likely to be admitted
     */
    void refused(long retryAfterMillis);

    /**
     * No VM that holds the account's tokens decided in time; the operation may be within the rate.
     *
     * @param retryAfterMillis milliseconds after which a decision is likely
     */
    default void undecided(long retryAfterMillis) {
        refused(retryAfterMillis);
    }

    /** Whether the caller still waits for the decision. */
    boolean isPending();
}
