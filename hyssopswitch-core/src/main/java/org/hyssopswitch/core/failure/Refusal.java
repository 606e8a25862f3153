package org.hyssopswitch.core.failure;

import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.RouteId;

/** A failure that is reported to a caller with an SQLSTATE and the execution state of its statement. */
public sealed interface Refusal extends Failure {

    /** Returns the SQLSTATE of the error that the caller receives; five characters. */
    String sqlState();

    /** Returns whether the statement was executed. */
    Execution execution();

    /** Returns the milliseconds after which the caller may retry; 0 if a retry will not help. */
    default long retryAfterMillis() {
        return 0;
    }

    /** The key is missing, wrong or unknown; the refusal does not disclose which. */
    record AuthenticationFailed() implements Refusal {
        @Override
        public String sqlState() {
            return "28P01";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "authentication failed";
        }
    }

    /**
     * The key was withdrawn after the caller connected.
     *
     * @param account the client account of the key
     */
    record KeyWithdrawn(ClientAccountId account) implements Refusal {
        @Override
        public String sqlState() {
            return "28000";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "the key of client account " + account + " has been withdrawn";
        }
    }

    /**
     * The client account may not use the database, or the database does not exist.
     *
     * @param database name as given by the caller
     */
    record DatabaseUnknown(String database) implements Refusal {
        @Override
        public String sqlState() {
            return "3D000";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "database '" + database + "' does not exist for this client account";
        }
    }

    /**
     * The route is not declared for the database.
     *
     * @param route the route as named by the caller
     */
    record RouteUnknown(String route) implements Refusal {
        @Override
        public String sqlState() {
            return "42704";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "route '" + route + "' is not declared";
        }
    }

    /**
     * The client account has exceeded its rate and burst.
     *
     * @param account the client account
     * @param retryAfterMillis milliseconds until a token will be available
     */
    record RateExceeded(ClientAccountId account, long retryAfterMillis) implements Refusal {
        @Override
        public String sqlState() {
            return "53400";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "client account " + account + " exceeds its rate; retry after " + retryAfterMillis + " ms";
        }
    }

    /**
     * The queue of the client account is full or the statement's deadline cannot be met.
     *
     * @param account the client account
     * @param retryAfterMillis milliseconds after which capacity is expected
     */
    record Overloaded(ClientAccountId account, long retryAfterMillis) implements Refusal {
        @Override
        public String sqlState() {
            return "53000";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "the queue of client account " + account + " is full; retry after " + retryAfterMillis + " ms";
        }
    }

    /**
     * No endpoint can serve the statement now.
     *
     * @param database the database
     * @param retryAfterMillis milliseconds after which a retry is worth while
     */
    record EndpointUnavailable(DatabaseId database, long retryAfterMillis) implements Refusal {
        @Override
        public String sqlState() {
            return "57P03";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "no endpoint of database " + database + " can serve the statement; retry after " + retryAfterMillis
                    + " ms";
        }
    }

    /**
     * The statement was sent and its outcome is not known.
     *
     * @param database the database
     * @param reason the failure that left the outcome unknown
     */
    record OutcomeUnknown(DatabaseId database, String reason) implements Refusal {
        @Override
        public String sqlState() {
            return "08007";
        }

        @Override
        public Execution execution() {
            return Execution.OUTCOME_UNKNOWN;
        }

        @Override
        public String describe() {
            return "the outcome on database " + database + " is unknown: " + reason;
        }
    }

    /**
     * A write was attempted on a route that is declared as a read.
     *
     * @param route the route
     */
    record ReadOnlyRoute(RouteId route) implements Refusal {
        @Override
        public String sqlState() {
            return "25006";
        }

        @Override
        public Execution execution() {
            return Execution.FAILED;
        }

        @Override
        public String describe() {
            return "route " + route + " is declared as a read";
        }
    }

    /** The VM is shutting down and accepts no new work on this connection. */
    record ShuttingDown() implements Refusal {
        @Override
        public String sqlState() {
            return "57P01";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "the VM is shutting down; reconnect";
        }
    }

    /**
     * The caller violated the protocol.
     *
     * @param detail what was received
     */
    record ProtocolViolation(String detail) implements Refusal {
        @Override
        public String sqlState() {
            return "08P01";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "protocol violation: " + detail;
        }
    }

    /**
     * The session token could not be parsed.
     *
     * @param detail what is wrong with it
     */
    record TokenInvalid(String detail) implements Refusal {
        @Override
        public String sqlState() {
            return "22023";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "the session token is invalid: " + detail;
        }
    }

    /**
     * The configuration is too stale for keys to be trusted.
     *
     * @param ageMillis milliseconds since the configuration was last confirmed
     */
    record ConfigurationStale(long ageMillis) implements Refusal {
        @Override
        public String sqlState() {
            return "57P03";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public long retryAfterMillis() {
            return 1_000;
        }

        @Override
        public String describe() {
            return "the configuration was last confirmed " + ageMillis + " ms ago";
        }
    }

    /**
     * The caller referred to a prepared statement that its session has not prepared.
     *
     * @param statement the name as given by the caller
     */
    record StatementUnknown(String statement) implements Refusal {
        @Override
        public String sqlState() {
            return "26000";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "prepared statement '" + statement + "' does not exist";
        }
    }

    /**
     * The caller used a protocol feature that is not supported.
     *
     * @param feature the unsupported feature
     */
    record FeatureUnsupported(String feature) implements Refusal {
        @Override
        public String sqlState() {
            return "0A000";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return feature + " is not supported";
        }
    }

    /** The caller cancelled the statement before it ran. */
    record Cancelled() implements Refusal {
        @Override
        public String sqlState() {
            return "57014";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "the statement was cancelled before it ran";
        }
    }

    /**
     * The VM has reached its limit of caller connections.
     *
     * @param maxConnections the limit
     */
    record TooManyConnections(long maxConnections) implements Refusal {
        @Override
        public String sqlState() {
            return "53300";
        }

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }

        @Override
        public String describe() {
            return "the VM already has " + maxConnections + " connections";
        }
    }
}
