package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Positions that a majority confirmed, with the time at which the confirmed cycle started. A session that arrived
 * before that time takes such a position as its floor: whatever was acknowledged before it arrived lies below.
 */
final class ConfirmedPositions {

    private final Map<DatabaseId, Row> rows = new HashMap<>();

    void confirmed(DatabaseId database, LogPosition position, long startedMillis) {
        Row row = rows.get(database);
        if (row == null || startedMillis >= row.startedMillis) {
            rows.put(database, new Row(position, startedMillis));
        }
    }

    Option<LogPosition> since(DatabaseId database, long arrivedMillis) {
        return Option.of(rows.get(database))
                .filter(r -> r.startedMillis > arrivedMillis)
                .map(Row::position);
    }

    private record Row(LogPosition position, long startedMillis) {}
}
