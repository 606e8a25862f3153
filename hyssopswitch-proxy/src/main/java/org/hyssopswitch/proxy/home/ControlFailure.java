package org.hyssopswitch.proxy.home;

import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.EndpointId;

/** Why a control call to an endpoint failed. */
public sealed interface ControlFailure extends Failure {

    /**
     * This VM is not home to the endpoint.
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
     * No answer came in time; the call may have taken effect.
     *
     * @param endpoint the endpoint
     * @param timeoutMillis milliseconds waited
     */
    record TimedOut(EndpointId endpoint, long timeoutMillis) implements ControlFailure {
        @Override
        public String describe() {
            return "endpoint " + endpoint + " did not answer within " + timeoutMillis + " ms";
        }
    }

    /**
     * The connection broke or could not be opened; the call may have taken effect.
     *
     * @param endpoint the endpoint
     */
    record ConnectionLost(EndpointId endpoint) implements ControlFailure {
        @Override
        public String describe() {
            return "the control connection to endpoint " + endpoint + " broke";
        }
    }

    /**
     * The endpoint refused the call.
     *
     * @param endpoint the endpoint
     * @param sqlState five characters; empty when missing
     */
    record CallRefused(EndpointId endpoint, String sqlState) implements ControlFailure {
        @Override
        public String describe() {
            return "endpoint " + endpoint + " refused the call with SQLSTATE '" + sqlState + "'";
        }
    }

    /**
     * The answer does not have the columns of the contract.
     *
     * @param endpoint the endpoint
     * @param detail what is wrong
     */
    record BadReply(EndpointId endpoint, String detail) implements ControlFailure {
        @Override
        public String describe() {
            return "endpoint " + endpoint + " sent an answer that cannot be read: " + detail;
        }
    }
}
