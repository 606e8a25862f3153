package org.hyssopswitch.core.identity;

/**
 * The identity of one incarnation of a VM, its location and the address of its peer listener.
 *
 * @param vm the VM
 * @param incarnation start time of the VM in milliseconds since the epoch, which grows with every start
 * @param dataCentre the data centre the VM runs in
 * @param cell the cell the VM belongs to
 * @param host IP address of the peer listener
 * @param port TCP port of the peer listener, 1 to 65535
 */
public record VmAddress(VmId vm, long incarnation, DataCentreId dataCentre, CellId cell, String host, int port) {

    /** Checks the ranges. */
    public VmAddress {
        if (incarnation < 0) {
            throw new IllegalArgumentException("the incarnation must not be negative, but is " + incarnation);
        }
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("the peer port must be between 1 and 65535, but is " + port);
        }
    }
}
