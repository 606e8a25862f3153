package org.hyssopswitch.load;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hyssopswitch.load.audit.LedgerRequest;
import org.hyssopswitch.load.audit.LoadAudit;
import org.hyssopswitch.load.audit.Outcome;
import org.hyssopswitch.load.audit.ReadCheck;
import org.hyssopswitch.load.audit.RowValue;
import org.hyssopswitch.load.profile.Operation;
import org.hyssopswitch.load.profile.Traffic;

/** The operations of one session through its connection. Confined to the session's thread. */
final class SessionOperations {

    /** Stands for the role when a read returned no row and therefore no role. */
    private static final String NO_ROW = "no-row";

    private static final String INSERT = "INSERT INTO ledger (account, request, amount) VALUES (?, ?, ?)";
    private static final String UPSERT =
            "INSERT INTO kv (key, value) VALUES (?, ?) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value";

    private final SessionIdentity identity;
    private final SessionState state;
    private final Connector connector;
    private final RunContext context;
    private final SplittableRandom random;
    private long amount;
    private Optional<Boolean> withinRate = Optional.empty();

    SessionOperations(
            SessionIdentity identity,
            SessionState state,
            Connector connector,
            RunContext context,
            SplittableRandom random) {
        this.identity = identity;
        this.state = state;
        this.connector = connector;
        this.context = context;
        this.random = random;
    }

    /** Runs an operation; connection failures before anything was sent count as not run. */
    Outcome run(Operation operation) {
        withinRate = Optional.empty();
        Connection connection;
        try {
            connection = connector.connection();
        } catch (SQLException e) {
            return ErrorClass.outcome(e) == Outcome.RATE_REFUSED ? Outcome.RATE_REFUSED : Outcome.NOT_RUN;
        }
        Traffic traffic = context.options().profile().traffic();
        return switch (operation) {
            case AGED_READ -> read(connection, traffic.agedRoute());
            case LATEST_READ -> read(connection, traffic.latestRoute());
            case KEYED_WRITE -> write(connection, random.nextInt(state.rowCount()));
            case LEDGER_INSERT -> ledger(connection, List.of(nextRequest()));
            case TRANSACTION -> ledger(connection, List.of(nextRequest(), nextRequest()));
        };
    }

    /** Whether the first statement of the last operation was within rate and burst; false when none was sent. */
    boolean withinRate() {
        return withinRate.orElse(false);
    }

    /** Writes every row once, so that reads find them. */
    boolean prepare() {
        for (int i = 0; i < state.rowCount(); i++) {
            boolean written = state.row(i).acknowledged() > 0;
            try {
                if (!written && write(connector.connection(), i) != Outcome.ACKNOWLEDGED) {
                    return false;
                }
            } catch (SQLException e) {
                return false;
            }
        }
        return true;
    }

    /** Reads all ledger rows of the client account; empty when they cannot be read now. */
    Optional<List<LedgerRequest>> readLedger() {
        String sql = "/* route='" + context.options().profile().traffic().latestRoute()
                + "' */ SELECT request, amount FROM ledger WHERE account = ?";
        try (PreparedStatement statement = connector.connection().prepareStatement(sql)) {
            statement.setString(1, identity.account());
            List<LedgerRequest> rows = new ArrayList<>();
            try (ResultSet result = statement.executeQuery()) {
                while (result.next()) {
                    rows.add(new LedgerRequest(
                            identity.database(), identity.account(), result.getString(1), result.getLong(2)));
                }
            }
            return Optional.of(rows);
        } catch (SQLException e) {
            connector.move(1, true);
            return Optional.empty();
        }
    }

    private Outcome read(Connection connection, String route) {
        SessionState.Row row = state.row(random.nextInt(state.rowCount()));
        String request = state.nextRequest();
        String sql = "/* route='" + route + "' */ SELECT ?, key, value, hyssop_role() FROM kv WHERE key = ?";
        charge();
        try (PreparedStatement statement = connection.prepareStatement(sql)) {
            statement.setString(1, request);
            statement.setString(2, row.key());
            Optional<ReadCheck.ReadAnswer> answer = Optional.empty();
            try (ResultSet result = statement.executeQuery()) {
                if (result.next()) {
                    answer = Optional.of(
                            new ReadCheck.ReadAnswer(result.getString(1), result.getString(2), result.getString(3)));
                    context.readServedBy(result.getString(4));
                }
            }
            if (answer.isEmpty()) {
                context.readServedBy(NO_ROW);
            }
            context.audit().read(new ReadCheck(request, row.key(), row.acknowledged(), answer));
            return Outcome.ACKNOWLEDGED;
        } catch (SQLException e) {
            return failed(e);
        }
    }

    private Outcome write(Connection connection, int index) {
        SessionState.Row row = state.row(index);
        RowValue value = row.nextValue();
        charge();
        try (PreparedStatement statement = connection.prepareStatement(UPSERT)) {
            statement.setString(1, row.key());
            statement.setString(2, value.encode());
            statement.executeUpdate();
            row.acknowledge(value);
            acknowledged();
            return Outcome.ACKNOWLEDGED;
        } catch (SQLException e) {
            Outcome outcome = failed(e);
            if (outcome == Outcome.UNKNOWN) {
                state.abandon(index);
            }
            return outcome;
        }
    }

    private Outcome ledger(Connection connection, List<LedgerRequest> requests) {
        LoadAudit audit = context.audit();
        audit.issued(requests);
        Outcome outcome = requests.size() == 1 ? insert(connection, requests.get(0)) : transact(connection, requests);
        audit.ended(requests, outcome);
        return outcome;
    }

    private Outcome insert(Connection connection, LedgerRequest request) {
        try {
            execute(connection, request);
            acknowledged();
            return Outcome.ACKNOWLEDGED;
        } catch (SQLException e) {
            return failed(e);
        }
    }

    private Outcome transact(Connection connection, List<LedgerRequest> requests) {
        boolean committing = false;
        try {
            connection.setAutoCommit(false);
            for (LedgerRequest request : requests) {
                execute(connection, request);
            }
            committing = true;
            charge();
            connection.commit();
            connection.setAutoCommit(true);
            acknowledged();
            return Outcome.ACKNOWLEDGED;
        } catch (SQLException e) {
            Outcome outcome = failed(e);
            connector.close();
            // Nothing of a transaction can take effect before its commit is sent.
            return outcome == Outcome.UNKNOWN && !committing ? Outcome.FAILED : outcome;
        }
    }

    private void execute(Connection connection, LedgerRequest request) throws SQLException {
        charge();
        try (PreparedStatement statement = connection.prepareStatement(INSERT)) {
            statement.setString(1, request.account());
            statement.setString(2, request.request());
            statement.setLong(3, request.amount());
            statement.executeUpdate();
        }
    }

    private LedgerRequest nextRequest() {
        return new LedgerRequest(identity.database(), identity.account(), state.nextRequest(), ++amount);
    }

    private void acknowledged() throws SQLException {
        context.writeAcknowledged(identity.database());
        connector.noteToken();
    }

    private Outcome failed(SQLException error) {
        Outcome outcome = ErrorClass.outcome(error);
        if (outcome == Outcome.UNKNOWN) {
            connector.move(1, true);
        }
        return outcome;
    }

    private void charge() {
        boolean within = context.charge(identity);
        withinRate = withinRate.or(() -> Optional.of(within));
    }
}
