package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.PreparedShape;

/** The session values and prepared statements of a connection, as the commands sent on it have set them. */
final class ConnectionSessionState {

    /** Statements prepared on a connection; callers choose shapes, and the endpoint keeps them until the next reset. */
    static final int MAX_PREPARED_STATEMENTS = 256;

    /** Text of the statements prepared on a connection, characters. */
    static final int MAX_PREPARED_CHARACTERS = 1 << 20;

    private final Map<String, String> values = new TreeMap<>();
    private final Set<PreparedShape> prepared = new HashSet<>();
    private long preparedCharacters;
    private boolean unknown;

    /**
     * Returns the commands that give the connection the values of a session and prepare a statement, and records them as
     * sent.
     *
     * @param wanted values of the session
     * @param shape the prepared statement to execute next, if any
     * @param outsideTransaction whether no transaction is open on the connection, so that it may be reset
     */
    List<EndpointCommand> apply(Map<String, String> wanted, Option<PreparedShape> shape, boolean outsideTransaction) {
        List<EndpointCommand> commands = new ArrayList<>();
        boolean surplusValues = !wanted.keySet().containsAll(values.keySet());
        if (surplusValues || (outsideTransaction && (unknown || shape.exists(this::exceedsLimit)))) {
            commands.add(new EndpointCommand.Reset());
            values.clear();
            clearPrepared();
            unknown = false;
        }
        wanted.forEach((name, value) -> {
            if (!value.equals(values.put(name, value))) {
                commands.add(new EndpointCommand.SetValue(name, value));
            }
        });
        shape.filter(prepared::add).forEach(added -> {
            preparedCharacters += added.shape().length();
            commands.add(new EndpointCommand.Prepare(added));
        });
        return commands;
    }

    /**
     * Records that the endpoint does not know a statement that was prepared. It may have lost the values as well, so
     * they are all set again before the next session uses the connection.
     */
    void markUnknown() {
        unknown = true;
        clearPrepared();
    }

    private boolean exceedsLimit(PreparedShape shape) {
        return !prepared.contains(shape)
                && !prepared.isEmpty()
                && (prepared.size() >= MAX_PREPARED_STATEMENTS
                        || preparedCharacters + shape.shape().length() > MAX_PREPARED_CHARACTERS);
    }

    private void clearPrepared() {
        prepared.clear();
        preparedCharacters = 0;
    }
}
