package org.hyssopswitch.pool.catalog;

/**
 * What the platform lists about one database server.
 *
 * @param id its identifier
 * @param group its group
 * @param host IP address
 * @param port TCP port
 * @param dataCentre its data centre
 * @param draining whether it is about to stop
 * @param primary whether it sees itself as the primary of its group
 * @param bornMillis time of its start, milliseconds since the epoch
 * @param coldMillis milliseconds for which it stays slow after its start
 * @param revision store revision of the entry; later changes have higher numbers
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
        long revision) {

    /**
     * Whether connections to the other entry's process are connections to this one's.
     *
     * @param other another entry with the same identifier
     */
    public boolean isSameProcess(Endpoint other) {
        return bornMillis == other.bornMillis && port == other.port && host.equals(other.host);
    }
}
