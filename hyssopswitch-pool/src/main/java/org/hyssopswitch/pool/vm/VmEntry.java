package org.hyssopswitch.pool.vm;

/**
 * What a VM records about itself for the others.
 *
 * @param dataCentre its data centre
 * @param host IP address for messages between VMs
 * @param port TCP port for messages between VMs
 * @param incarnation milliseconds since the epoch at the start of its process
 */
public record VmEntry(String dataCentre, String host, int port, long incarnation) {}
