package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The connections of callers, and their sessions by process number. */
final class EntrySessions {

    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private final Map<Integer, Entry> sessions = new HashMap<>();
    private int lastProcess;

    void accepted(CallerConnection connection) {
        connections.add(connection);
    }

    int opened(CallerConnection connection, int secret) {
        do {
            lastProcess = lastProcess == Integer.MAX_VALUE ? 1 : lastProcess + 1;
        } while (sessions.containsKey(lastProcess));
        sessions.put(lastProcess, new Entry(secret, connection));
        return lastProcess;
    }

    void removed(CallerConnection connection, int process) {
        connections.remove(connection);
        sessions.remove(process);
    }

    /** Cancels what a session runs; a wrong secret does nothing and is not told apart from a right one. */
    void cancel(int process, int secret) {
        Option.of(sessions.get(process))
                .filter(e -> e.secret() == secret)
                .flatMap(e -> e.connection().session())
                .forEach(CallerSession::cancel);
    }

    List<CallerConnection> all() {
        return new ArrayList<>(connections);
    }

    int size() {
        return connections.size();
    }

    private record Entry(int secret, CallerConnection connection) {}
}
