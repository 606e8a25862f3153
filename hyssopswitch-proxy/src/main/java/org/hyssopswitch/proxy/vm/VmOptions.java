package org.hyssopswitch.proxy.vm;

import io.vavr.control.Option;
import javax.net.ssl.SSLContext;
import org.hyssopswitch.peer.PeerOptions;
import org.hyssopswitch.proxy.entry.EntryOptions;
import org.hyssopswitch.proxy.home.EndpointUsers;

/**
 * How one VM runs.
 *
 * @param peer who the VM is towards its peers, with the address of its peer listener
 * @param caller address of the listener for callers
 * @param operations address of the listener for health, status and metrics
 * @param users the VM's users at endpoints
 * @param tls identity towards callers; nothing when TLS is not offered
 * @param callers bounds for callers
 * @param tickMillis milliseconds between ticks of the decision engine
 * @param drainMillis milliseconds that running transactions get to end at a shutdown
 */
public record VmOptions(
        PeerOptions peer,
        Listener caller,
        Listener operations,
        EndpointUsers users,
        Option<SSLContext> tls,
        EntryOptions callers,
        long tickMillis,
        long drainMillis) {

    /** Checks the ranges. */
    public VmOptions {
        if (tickMillis < 1 || drainMillis < 0) {
            throw new IllegalArgumentException("the tick must be at least 1 ms and the drain not negative, but are "
                    + tickMillis + " and " + drainMillis);
        }
    }

    /**
     * Options with the default bounds for callers.
     *
     * @param peer who the VM is towards its peers
     * @param caller address of the listener for callers
     * @param operations address of the listener for health, status and metrics
     * @param users the VM's users at endpoints
     * @param tls identity towards callers
     * @param tickMillis milliseconds between ticks
     * @param drainMillis milliseconds that running transactions get to end
     */
    public VmOptions(
            PeerOptions peer,
            Listener caller,
            Listener operations,
            EndpointUsers users,
            Option<SSLContext> tls,
            long tickMillis,
            long drainMillis) {
        this(peer, caller, operations, users, tls, EntryOptions.DEFAULT, tickMillis, drainMillis);
    }

    /**
     * An address to listen on.
     *
     * @param host IP address
     * @param port TCP port; 0 for any free one
     */
    public record Listener(String host, int port) {}
}
