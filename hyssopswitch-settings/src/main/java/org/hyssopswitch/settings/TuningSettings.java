package org.hyssopswitch.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import org.hyssopswitch.settings.binding.DefaultValue;

/**
 * Times and limits of a VM; each has a default.
 *
 * @param engine the decision engine
 * @param callers connections of callers
 * @param queue statements that wait at a home
 * @param peers links to other VMs
 * @param shutdown the graceful end
 */
public record TuningSettings(Engine engine, Callers callers, Queue queue, Peers peers, Shutdown shutdown) {

    /**
     * The decision engine.
     *
     * @param tickMillis milliseconds between ticks
     */
    public record Engine(@DefaultValue("20") @Min(1) @Max(1_000) long tickMillis) {}

    /**
     * Connections of callers.
     *
     * @param maxConnections connections at once
     * @param startupTimeoutMillis milliseconds in which a caller must authenticate
     * @param statementTimeoutMillis milliseconds that a statement may take, its wait included
     */
    public record Callers(
            @DefaultValue("10000") @Min(1) @Max(1_000_000) int maxConnections,
            @DefaultValue("10000") @Min(100) @Max(120_000) long startupTimeoutMillis,
            @DefaultValue("30000") @Min(100) @Max(3_600_000) long statementTimeoutMillis) {}

    /**
     * Statements that wait at a home.
     *
     * @param maxStatementsPerAccount statements of one client account that may wait for one endpoint
     */
    public record Queue(@DefaultValue("256") @Min(1) @Max(1_000_000) int maxStatementsPerAccount) {}

    /**
     * Links to other VMs.
     *
     * @param maxFrameBytes greatest length of a frame
     * @param maxPendingBytes bytes that may wait on one link
     * @param handshakeTimeoutMillis milliseconds in which a link must be open
     */
    public record Peers(
            @DefaultValue("20971520") @Min(65_536) @Max(268_435_456) int maxFrameBytes,
            @DefaultValue("33554432") @Min(65_536) @Max(1_073_741_823) int maxPendingBytes,
            @DefaultValue("3000") @Min(100) @Max(60_000) long handshakeTimeoutMillis) {

        /** Checks that a frame fits the queue. */
        public Peers {
            if (maxPendingBytes < maxFrameBytes) {
                throw new IllegalArgumentException("maxPendingBytes must be at least maxFrameBytes, but are "
                        + maxPendingBytes + " and " + maxFrameBytes);
            }
        }
    }

    /**
     * The graceful end.
     *
     * @param drainMillis milliseconds that running transactions get to end
     */
    public record Shutdown(@DefaultValue("30000") @Min(0) @Max(3_600_000) long drainMillis) {}
}
