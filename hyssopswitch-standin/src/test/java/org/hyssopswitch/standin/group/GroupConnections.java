package org.hyssopswitch.standin.group;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import org.hyssopswitch.core.identity.EndpointId;

/** Opens driver connections to a group under test. */
final class GroupConnections {

    private GroupConnections() {}

    static Connection writer(DatabaseGroupServer group, int endpoint) throws SQLException {
        return open(group, endpoint, group.settings().writer(), "vm-1/1");
    }

    static Connection reader(DatabaseGroupServer group, int endpoint) throws SQLException {
        return open(group, endpoint, group.settings().reader(), "vm-1/1");
    }

    static Connection open(DatabaseGroupServer group, int endpoint, Credential credential, String application)
            throws SQLException {
        Properties properties = new Properties();
        properties.setProperty("user", credential.user());
        properties.setProperty("password", credential.password());
        properties.setProperty("ApplicationName", application);
        properties.setProperty("socketTimeout", "20");
        EndpointId id = group.endpoints().get(endpoint);
        String database = group.settings().database().value();
        return DriverManager.getConnection(
                "jdbc:postgresql://127.0.0.1:" + group.port(id) + "/" + database, properties);
    }

    static List<String> rows(Connection connection, String sql) throws SQLException {
        List<String> rows = new ArrayList<>();
        try (Statement statement = connection.createStatement();
                ResultSet result = statement.executeQuery(sql)) {
            while (result.next()) {
                List<String> cells = new ArrayList<>();
                for (int i = 1; i <= result.getMetaData().getColumnCount(); i++) {
                    cells.add(result.getString(i));
                }
                rows.add(String.join(",", cells));
            }
        }
        return rows;
    }

    static void execute(Connection connection, String sql) throws SQLException {
        try (Statement statement = connection.createStatement()) {
            statement.execute(sql);
        }
    }
}
