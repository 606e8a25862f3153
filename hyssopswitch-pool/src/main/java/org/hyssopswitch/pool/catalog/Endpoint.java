package org.hyssopswitch.pool.catalog;

import org.hyssopswitch.core.store.StorePosition;

/**
 * A database server as listed by the platform.
 *
 * @param id identifier of the endpoint
 * @param group name of the database group that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param dataCentre data centre in which it runs
 * @param draining whether it has announced that it will stop
 * @param primary whether it reports itself as the primary of its group
 * @param bornMillis start time of its process, milliseconds since the epoch
 * @param coldMillis remaining time for which it is slow after its start, milliseconds
 * @param position store position of the entry, which increases with every change
 */
public record Endpoint(
        String id,
        String group,
        String host,
        int port,
        String dataCentre,
        boolean draining,
        boolean primary,
        long bornMillis,
        long coldMillis,
        StorePosition position) {

    /**
     * Whether both entries describe the same process, so that existing connections remain valid.
     *
     * @param other another entry with the same identifier
     */
    public boolean isSameProcess(Endpoint other) {
        return bornMillis == other.bornMillis && port == other.port && host.equals(other.host);
    }
}
