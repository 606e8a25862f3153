package org.hyssopswitch.pool.vm;

/**
 * The entry of a VM in the store, by which the other VMs find it.
 *
 * @param dataCentre data centre of the VM
 * @param host IP address for messages between VMs
 * @param port TCP port for messages between VMs
 * @param incarnation start of the process, milliseconds since the epoch
 */
public record VmEntry(String dataCentre, String host, int port, long incarnation) {}
