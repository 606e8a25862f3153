package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.List;

/**
 * Finds connections of an endpoint that have gone silent without a reset, while the endpoint answers on others.
 *
 * <p>TCP keepalive does not find them while a command is on the way, and nobody waits for the answer to some commands.
 */
final class SilentConnectionDetector {

    /** Time between two checks above which this VM was stalled, milliseconds: checks come every 20 ms. */
    private static final long STALL_MILLIS = 100;

    /** Time after a stall in which answers that have arrived meanwhile are still being read, milliseconds. */
    private static final long STALL_RECOVERY_MILLIS = 200;

    private long lastCheckMillis;
    private long stalledAtMillis;

    SilentConnectionDetector(long nowMillis) {
        lastCheckMillis = nowMillis;
        stalledAtMillis = nowMillis;
    }

    /**
     * Returns the connections on which a command is overdue, and those that have been idle since before that command was
     * sent: they may have gone silent as well.
     *
     * @param connections direct connections to the endpoint
     * @param lastContactMillis time of the endpoint's latest answer, milliseconds
     * @param now milliseconds of the monotonic clock
     */
    List<PooledConnection> check(List<PooledConnection> connections, long lastContactMillis, long now) {
        if (now - lastCheckMillis > STALL_MILLIS) {
            stalledAtMillis = now;
        }
        lastCheckMillis = now;
        if (now - stalledAtMillis < STALL_RECOVERY_MILLIS) {
            return List.of();
        }
        Option<Long> latest = Option.ofOptional(connections.stream()
                .flatMap(connection ->
                        connection.silentSinceMillis(lastContactMillis).toJavaStream())
                .max(Comparator.naturalOrder()));
        return latest.map(since -> connections.stream()
                        .filter(connection ->
                                connection.silentSinceMillis(lastContactMillis).isDefined()
                                        || (connection.idle() && connection.stateSinceMillis() < since))
                        .toList())
                .getOrElse(List.of());
    }
}
