package org.hyssopswitch.peer;

import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/**
 * Who a VM is towards its peers, and the limits of its links.
 *
 * @param vm the VM
 * @param incarnation milliseconds since the epoch at its start
 * @param dataCentre its data centre
 * @param cell its cell
 * @param host IP address to listen on
 * @param port TCP port to listen on; 0 for any free one
 * @param fleetSecret secret that all VMs share, at least 16 bytes
 * @param limits limits of its links
 */
public record PeerOptions(
        VmId vm,
        long incarnation,
        DataCentreId dataCentre,
        CellId cell,
        String host,
        int port,
        byte[] fleetSecret,
        Limits limits) {

    private static final int MIN_SECRET_BYTES = 16;

    /** Checks the secret and copies it. */
    public PeerOptions {
        if (fleetSecret.length < MIN_SECRET_BYTES) {
            throw new PeerException("the fleet secret must have at least " + MIN_SECRET_BYTES + " bytes, but has "
                    + fleetSecret.length);
        }
        fleetSecret = fleetSecret.clone();
    }

    @Override
    public String toString() {
        return "PeerOptions[vm=" + vm + ", incarnation=" + incarnation + ", host=" + host + ", port=" + port + "]";
    }

    VmAddress addressAt(int boundPort) {
        return new VmAddress(vm, incarnation, dataCentre, cell, host, boundPort);
    }

    /**
     * Limits of links.
     *
     * @param maxFrameBytes greatest length of a frame
     * @param maxPendingBytes bytes that may wait to be sent on one link; beyond that the link fails
     * @param handshakeTimeoutMillis milliseconds in which a link must be open
     * @param minBackoffMillis delay before the first new dial after a failure
     * @param maxBackoffMillis greatest delay before a new dial
     * @param maxStrangers connections that may be in the handshake at once
     */
    public record Limits(
            int maxFrameBytes,
            int maxPendingBytes,
            long handshakeTimeoutMillis,
            long minBackoffMillis,
            long maxBackoffMillis,
            int maxStrangers) {

        /** Limits that fit a small VM. */
        public static final Limits DEFAULT = new Limits(4 << 20, 16 << 20, 3_000, 50, 2_000, 256);

        /** Checks the ranges. */
        public Limits {
            if (maxFrameBytes < 1024 || maxPendingBytes < maxFrameBytes) {
                throw new PeerException("a frame must be permitted 1024 bytes and the queue a frame, but are "
                        + maxFrameBytes + " and " + maxPendingBytes);
            }
            if (handshakeTimeoutMillis < 1 || minBackoffMillis < 1 || maxBackoffMillis < minBackoffMillis) {
                throw new PeerException("handshake timeout and backoff must be positive and ordered, but are "
                        + handshakeTimeoutMillis + ", " + minBackoffMillis + " and " + maxBackoffMillis);
            }
        }
    }
}
