package org.hyssopswitch.proxy.home;

import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.EndpointId;

/** Why a control call to an endpoint failed. */
public sealed interface ControlFailure extends Failure {

    /**
     * This VM is not a home of the endpoint.
     *
     * @param endpoint the endpoint
     */
    record NotHome(EndpointId endpoint) implements ControlFailure {
        @Override
        public String describe() {
            return "this VM is not home to endpoint " + endpoint;
        }
    }

    /**
     * The call timed out; it may have taken effect.
     *
     * @param endpoint the endpoint
     * @param timeoutMillis the timeout in milliseconds
     */
    record TimedOut(EndpointId endpoint, long timeoutMillis) implements ControlFailure {
        @Override
        public String describe() {
            return "endpoint " + endpoint + " did not answer within " + timeoutMillis + " ms";
        }
    }

    /**
     * The connection was lost or could not be opened; the call may have taken effect.
     *
     * @param endpoint the endpoint
     */
    record ConnectionLost(EndpointId endpoint) implements ControlFailure {
        @Override
        public String describe() {
            return "the control connection to endpoint " + endpoint + " was lost or could not be opened";
        }
    }

    /**
     * The endpoint refused the call.
     *
     * @param endpoint the endpoint
     * @param sqlState the five-character SQLSTATE; empty if the error has none
     */
    record CallRefused(EndpointId endpoint, String sqlState) implements ControlFailure {
        @Override
        public String describe() {
            return "endpoint " + endpoint + " refused the call with SQLSTATE '" + sqlState + "'";
        }
    }

    /**
     * The reply has no row, or one that does not match the columns of the control functions.
     *
     * @param endpoint the endpoint
     * @param detail description of the mismatch
     */
    record BadReply(EndpointId endpoint, String detail) implements ControlFailure {
        @Override
        public String describe() {
            return "endpoint " + endpoint + " sent a malformed reply: " + detail;
        }
    }
}
