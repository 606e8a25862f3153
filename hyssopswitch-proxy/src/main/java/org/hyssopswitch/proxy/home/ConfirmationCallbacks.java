package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Callbacks of the answers that are held until their position is confirmed, by ticket. */
final class ConfirmationCallbacks {

    private final Map<Long, Consumer<Boolean>> waiting = new HashMap<>();
    private long lastTicket;

    long add(Consumer<Boolean> callback) {
        waiting.put(++lastTicket, callback);
        return lastTicket;
    }

    void resolve(long ticket, boolean confirmed) {
        Option.of(waiting.remove(ticket)).forEach(c -> c.accept(confirmed));
    }
}
