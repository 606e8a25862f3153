package org.hyssopswitch.core.failover;

import java.util.Objects;

/**
 * One process of a database server that may hold acknowledged commits.
 *
 * @param endpoint identifier of the endpoint; a process that starts again may keep it
 * @param bornMillis start time of the process, milliseconds since the epoch
 * @param host IP address
 * @param port TCP port
 * @param draining whether it has announced that it will stop, after which its log moves to its successor
 */
public record CommitHolder(String endpoint, long bornMillis, String host, int port, boolean draining) {

    /** Checks that the process can be found. */
    public CommitHolder {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(host, "host");
    }

    /**
     * Whether both entries describe the same process.
     *
     * @param other another holder
     */
    boolean sameProcess(CommitHolder other) {
        return endpoint.equals(other.endpoint) && bornMillis == other.bornMillis && sameAddress(other);
    }

    /**
     * Whether this process has taken over the address, and with it the log, of one that stopped as announced. One that
     * starts again as the same endpoint has lost its log.
     *
     * @param other the earlier process
     */
    boolean inheritsLogOf(CommitHolder other) {
        return other.draining && sameAddress(other) && !endpoint.equals(other.endpoint);
    }

    /**
     * Whether this process is a later start of the endpoint, so that the other one has ended.
     *
     * @param other the earlier process
     */
    public boolean replaces(CommitHolder other) {
        return endpoint.equals(other.endpoint) && !sameProcess(other);
    }

    /** Returns the same process, of which is known that no successor gets its log. */
    CommitHolder withoutSuccessor() {
        return new CommitHolder(endpoint, bornMillis, host, port, false);
    }

    private boolean sameAddress(CommitHolder other) {
        return port == other.port && host.equals(other.host);
    }
}
