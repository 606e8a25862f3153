package org.hyssopswitch.load;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.Optional;
import java.util.Properties;
import org.postgresql.PGConnection;

/** Opens driver connections and carries the session token from one to the next. Confined to a session's thread. */
final class Connector {

    private static final String SESSION = "hyssop.session";
    private static final int MILLIS_PER_SECOND = 1_000;

    private final LoadOptions options;
    private final LoadOptions.Login login;
    private final String database;
    private Optional<Connection> open = Optional.empty();
    private Optional<String> token = Optional.empty();
    private int vm;

    Connector(LoadOptions options, LoadOptions.Login login, String database, int firstVm) {
        this.options = options;
        this.login = login;
        this.database = database;
        this.vm = firstVm;
    }

    /** The open connection; opens one when there is none, at the next VM after a failure. */
    Connection connection() throws SQLException {
        if (open.isEmpty()) {
            try {
                open = Optional.of(connect());
            } catch (SQLException e) {
                vm++;
                throw e;
            }
        }
        return open.get();
    }

    /** Remembers the session token that the last answer reported. */
    void noteToken() throws SQLException {
        if (open.isPresent()) {
            PGConnection connection = open.get().unwrap(PGConnection.class);
            token = Optional.ofNullable(connection.getParameterStatus(SESSION)).or(() -> token);
        }
    }

    /** Closes the connection; the next one goes to another VM. */
    void move(int steps, boolean withToken) {
        close();
        vm += steps;
        if (!withToken) {
            token = Optional.empty();
        }
    }

    void close() {
        try {
            if (open.isPresent()) {
                open.get().close();
            }
        } catch (SQLException e) {
            // The connection is given up in any case.
        } finally {
            open = Optional.empty();
        }
    }

    private Connection connect() throws SQLException {
        LoadOptions.VmTarget target =
                options.vms().get(Math.floorMod(vm, options.vms().size()));
        Properties properties = new Properties();
        properties.setProperty("user", login.user());
        properties.setProperty("password", login.password());
        properties.setProperty("assumeMinServerVersion", "12");
        properties.setProperty("connectTimeout", "3");
        properties.setProperty("loginTimeout", "5");
        long timeoutSeconds = Math.max(1, options.answerTimeoutMillis() / MILLIS_PER_SECOND);
        properties.setProperty("socketTimeout", Long.toString(timeoutSeconds));
        token.ifPresent(t -> properties.setProperty("options", "-c " + SESSION + "=" + t));
        return DriverManager.getConnection(
                "jdbc:postgresql://" + target.host() + ":" + target.port() + "/" + database, properties);
    }
}
