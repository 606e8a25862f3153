package org.hyssopswitch.core.placement;

/**
 * Load of an endpoint as measured by the VM that holds its connections.
 *
 * @param inFlight operations in flight at the endpoint
 * @param limit maximum number of operations in flight at the endpoint
 * @param waiting operations that wait at the measuring VM
 * @param queueMillis expected wait of a new operation, milliseconds
 * @param serviceMillis smoothed service time, milliseconds
 * @param failureRatio smoothed ratio of failed operations, 0 to 1
 * @param ejected whether the endpoint receives trial operations only
 */
public record EndpointLoad(
        int inFlight,
        int limit,
        int waiting,
        double queueMillis,
        double serviceMillis,
        double failureRatio,
        boolean ejected) {

    /** Checks the ranges. */
    public EndpointLoad {
        if (inFlight < 0 || limit < 1 || waiting < 0 || !(queueMillis >= 0) || !(serviceMillis >= 0)) {
            throw new IllegalArgumentException(
                    "counts and times of an endpoint's load must not be negative and its limit"
                            + " at least 1, but are " + inFlight + ", " + waiting + ", " + queueMillis + ", "
                            + serviceMillis
                            + " and " + limit);
        }
        if (!(failureRatio >= 0 && failureRatio <= 1)) {
            throw new IllegalArgumentException("the failure ratio must be between 0 and 1, but is " + failureRatio);
        }
    }
}
