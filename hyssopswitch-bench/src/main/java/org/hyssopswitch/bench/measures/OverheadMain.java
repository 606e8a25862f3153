package org.hyssopswitch.bench.measures;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.Locale;
import java.util.Properties;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.hyssopswitch.app.fleet.CorePolicy;
import org.hyssopswitch.app.fleet.Fleet;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.load.profile.AccountProfile;
import org.hyssopswitch.load.profile.LoadProfile;
import org.hyssopswitch.standin.group.DatabaseGroupServer;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compares a statement through a VM with the same statement sent to the endpoint directly, in one run. */
@Command(
        name = "overhead",
        mixinStandardHelpOptions = true,
        description = "Measures latency through a VM against a direct connection, and the rate of one VM.")
public final class OverheadMain implements Callable<Integer> {

    private static final int ROUNDS = 10;
    private static final int WARM_UP = 1_000;
    private static final double RATE_PER_SECOND = 1_000_000;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final int ADMISSION_TRIES = 100;
    private static final long ADMISSION_RETRY_MILLIS = 100;
    private static final String RATE_EXCEEDED = "53400";

    @Spec
    private CommandSpec spec;

    @Option(names = "--statements", defaultValue = "300", description = "statements of each kind in each of 10 rounds")
    private int statements;

    @Option(names = "--clients", defaultValue = "16", description = "connections that measure the rate of one VM")
    private int clients;

    private OverheadMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new OverheadMain()).execute(arguments));
    }

    @Override
    public Integer call() throws SQLException {
        LoadProfile profile = unlimited(LoadProfile.included("pellets")).ownedBy("demo");
        try (Fleet fleet = Fleet.start(profile, CorePolicy.PRODUCT)) {
            String account = profile.accounts().get(0).name();
            String key = profile.accounts().get(0).defaultKey();
            DatabaseGroupServer group = fleet.firstGroup();
            String database = group.settings().database().value();
            String vm = url("127.0.0.1", fleet.vms().get(0).callerPort(), database);
            String endpoint = url("127.0.0.1", group.port(group.endpoints().get(1)), database);
            var reader = group.settings().reader();
            latency(vm, account, key, endpoint, reader.user(), reader.password());
            rate(vm, account, key);
        }
        return CommandLine.ExitCode.OK;
    }

    private void latency(String vm, String account, String key, String endpoint, String user, String password)
            throws SQLException {
        Histogram direct = new Histogram(3);
        Histogram proxied = new Histogram(3);
        try (Connection one = connect(endpoint, user, password);
                Connection two = connect(vm, account, key)) {
            run(one, WARM_UP, new Histogram(3));
            awaitAdmission(two);
            run(two, WARM_UP, new Histogram(3));
            for (int i = 0; i < ROUNDS; i++) {
                run(one, statements, direct);
                run(two, statements, proxied);
            }
        }
        print("direct", direct);
        print("through a VM", proxied);
        spec.commandLine()
                .getOut()
                .printf(
                        Locale.ROOT,
                        "ratio of medians %.2f%n",
                        (double) proxied.getValueAtPercentile(50) / direct.getValueAtPercentile(50));
    }

    private void rate(String vm, String account, String key) {
        long start = System.nanoTime();
        List<CompletableFuture<Void>> runs = IntStream.range(0, clients)
                .mapToObj(i -> CompletableFuture.runAsync(() -> client(vm, account, key), r -> new Thread(r).start()))
                .toList();
        runs.forEach(CompletableFuture::join);
        double seconds = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
        double count = (double) clients * statements * ROUNDS;
        spec.commandLine().getOut().printf(Locale.ROOT, "%d clients: %.0f statements/s%n", clients, count / seconds);
        spec.commandLine().getOut().flush();
    }

    private void client(String vm, String account, String key) {
        try (Connection connection = connect(vm, account, key)) {
            run(connection, statements * ROUNDS, new Histogram(3));
        } catch (SQLException e) {
            throw new HyssopException("a client failed: " + e.getMessage(), e);
        }
    }

    private void print(String kind, Histogram micros) {
        spec.commandLine()
                .getOut()
                .printf(
                        Locale.ROOT,
                        "%s: median %.3f ms, p99 %.3f ms%n",
                        kind,
                        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                        micros.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }

    private static void run(Connection connection, int count, Histogram micros) throws SQLException {
        try (Statement statement = connection.createStatement()) {
            for (int i = 0; i < count; i++) {
                long start = System.nanoTime();
                try (ResultSet rows = statement.executeQuery("/* route='status' */ SELECT 1")) {
                    rows.next();
                }
                micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
            }
        }
    }

    /** A deployment that has just started refuses statements until the owners of its limit slots are recorded. */
    private static void awaitAdmission(Connection connection) throws SQLException {
        for (int i = 0; i < ADMISSION_TRIES; i++) {
            try {
                run(connection, 1, new Histogram(3));
                return;
            } catch (SQLException e) {
                if (!RATE_EXCEEDED.equals(e.getSQLState())) {
                    throw e;
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ADMISSION_RETRY_MILLIS));
            }
        }
        throw new HyssopException("no statement was admitted after " + ADMISSION_TRIES + " tries");
    }

    private static Connection connect(String url, String user, String password) throws SQLException {
        Properties properties = new Properties();
        properties.setProperty("user", user);
        properties.setProperty("password", password);
        return DriverManager.getConnection(url, properties);
    }

    private static String url(String host, int port, String database) {
        return "jdbc:postgresql://" + host + ":" + port + "/" + database;
    }

    /** Raises the declared rates, so that the limiter decides on every statement and refuses none. */
    private static LoadProfile unlimited(LoadProfile profile) {
        List<AccountProfile> accounts = profile.accounts().stream()
                .map(a -> new AccountProfile(
                        a.name(), RATE_PER_SECOND, RATE_PER_SECOND, a.demandPerSecond(), a.sessions()))
                .toList();
        return new LoadProfile(profile.name(), profile.deployment(), accounts, profile.traffic());
    }
}
