package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.position.LogPosition;

/** The cycles that wait for the floor of their session. */
final class FloorRequests {

    private final FloorSource source;
    private final Map<Long, Consumer<Option<LogPosition>>> waiting = new HashMap<>();
    private long lastTicket;

    FloorRequests(FloorSource source) {
        this.source = source;
    }

    void request(DatabaseId database, long deadlineMillis, Consumer<Option<LogPosition>> target) {
        waiting.put(++lastTicket, target);
        source.request(lastTicket, database, deadlineMillis);
    }

    void resolve(long ticket, Option<LogPosition> floor) {
        Option.of(waiting.remove(ticket)).forEach(t -> t.accept(floor));
    }
}
