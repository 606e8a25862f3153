package org.hyssopswitch.standin.group;

import java.util.List;
import java.util.stream.IntStream;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;

/**
 * Settings of a stand-in group.
 *
 * @param database the database; startups for another one are refused
 * @param endpoints the endpoints; the first is the primary of term 1
 * @param writer user that may read, write and make control calls
 * @param reader user whose writes are refused
 * @param slots statements that an endpoint runs at the same time, 1 or more
 * @param connections connections that an endpoint accepts, 1 or more
 * @param connectionCostMillis milliseconds that opening a connection takes, 0 or more
 * @param lagMillis milliseconds after which a replica receives a committed entry, 0 or more
 * @param serviceMicros microseconds for which a statement occupies its slot, 0 or more
 */
public record GroupSettings(
        DatabaseId database,
        List<EndpointAddress> endpoints,
        Credential writer,
        Credential reader,
        int slots,
        int connections,
        long connectionCostMillis,
        long lagMillis,
        long serviceMicros) {

    /** Endpoints of a group unless set otherwise. */
    public static final int DEFAULT_ENDPOINTS = 3;

    private static final int DEFAULT_SLOTS = 3;
    private static final int DEFAULT_CONNECTIONS = 34;

    /** Checks the ranges and copies the list. */
    public GroupSettings {
        endpoints = List.copyOf(endpoints);
        long distinct = endpoints.stream().map(EndpointAddress::id).distinct().count();
        if (endpoints.isEmpty() || distinct < endpoints.size()) {
            throw new IllegalArgumentException("the endpoints must be distinct and at least one, but are " + endpoints);
        }
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException(
                    "slots and connections must be at least 1, but are " + slots + " and " + connections);
        }
        if (connectionCostMillis < 0 || lagMillis < 0 || serviceMicros < 0) {
            throw new IllegalArgumentException("connectionCostMillis, lagMillis and serviceMicros must not be negative,"
                    + " but are " + connectionCostMillis + ", " + lagMillis + " and " + serviceMicros);
        }
    }

    /**
     * Settings with endpoints {@code <database>-1}, {@code <database>-2}, … on ephemeral ports and no delays.
     *
     * @param database name of the database
     * @param endpoints number of endpoints
     */
    public static GroupSettings of(String database, int endpoints) {
        List<EndpointAddress> addresses = IntStream.rangeClosed(1, endpoints)
                .mapToObj(i -> new EndpointAddress(new EndpointId(database + "-" + i), 0))
                .toList();
        Credential writer = new Credential("hyssop_writer", "writer-password");
        Credential reader = new Credential("hyssop_reader", "reader-password");
        return new GroupSettings(
                new DatabaseId(database), addresses, writer, reader, DEFAULT_SLOTS, DEFAULT_CONNECTIONS, 0, 0, 0);
    }

    /**
     * Replaces slots, connection cap and connection cost.
     *
     * @param newSlots statements that an endpoint runs at the same time
     * @param newConnections connections that an endpoint accepts
     * @param newCostMillis milliseconds that opening a connection takes
     */
    public GroupSettings withCapacity(int newSlots, int newConnections, long newCostMillis) {
        return new GroupSettings(
                database, endpoints, writer, reader, newSlots, newConnections, newCostMillis, lagMillis, serviceMicros);
    }

    /**
     * Replaces replication lag and service time.
     *
     * @param newLagMillis milliseconds after which a replica receives a committed entry
     * @param newServiceMicros microseconds for which a statement occupies its slot
     */
    public GroupSettings withDelays(long newLagMillis, long newServiceMicros) {
        return new GroupSettings(
                database,
                endpoints,
                writer,
                reader,
                slots,
                connections,
                connectionCostMillis,
                newLagMillis,
                newServiceMicros);
    }
}
