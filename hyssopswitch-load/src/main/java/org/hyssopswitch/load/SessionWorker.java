package org.hyssopswitch.load;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hyssopswitch.load.audit.LedgerRequest;
import org.hyssopswitch.load.audit.Outcome;
import org.hyssopswitch.load.profile.Operation;
import org.hyssopswitch.load.profile.Traffic;

/** A session with its thread: runs what arrives, in order, and moves to another VM now and then. */
final class SessionWorker {

    private static final int QUEUE_OPERATIONS = 256;
    private static final int ROWS_PER_SESSION = 4;
    private static final int PREPARE_ATTEMPTS = 200;
    private static final long PREPARE_PAUSE_MILLIS = 100;
    private static final int AUDIT_ATTEMPTS = 100;

    private final SessionIdentity identity;
    private final RunContext context;
    private final Connector connector;
    private final SessionOperations operations;
    private final SplittableRandom random;
    private final BlockingQueue<Arrival> queue = new ArrayBlockingQueue<>(QUEUE_OPERATIONS);
    private final Thread thread;
    private volatile boolean stopping;
    private volatile boolean prepared;

    SessionWorker(SessionIdentity identity, RunContext context, String run, SplittableRandom random) {
        this.identity = identity;
        this.context = context;
        this.random = random;
        LoadOptions options = context.options();
        LoadOptions.Login login = options.logins()
                .getOrDefault(
                        identity.account(), new LoadOptions.Login(identity.account(), identity.account() + "-key"));
        this.connector = new Connector(options, login, identity.database(), identity.number());
        SessionState state = new SessionState(identity.account(), identity.number(), run, ROWS_PER_SESSION);
        this.operations = new SessionOperations(identity, state, connector, context, random.split());
        this.thread = new Thread(this::run, "session-" + identity.account() + "-" + identity.number());
        thread.setDaemon(true);
    }

    SessionIdentity identity() {
        return identity;
    }

    void start() {
        thread.start();
    }

    /** Whether the session has written its rows and serves arrivals. */
    boolean prepared() {
        return prepared;
    }

    /** Hands over an operation; drops it when the queue is full. */
    void offer(Operation operation, long intendedNanos) {
        if (!queue.offer(new Arrival(operation, intendedNanos))) {
            context.meter(identity.account()).notSent();
        }
    }

    /** Lets the session finish what has arrived. */
    void stop() {
        stopping = true;
    }

    /** Waits for the thread to end; false when it has not ended in time. */
    boolean join(long millis) throws InterruptedException {
        thread.join(Math.max(1, millis));
        return !thread.isAlive();
    }

    /** Reads the ledger of the client account, once the thread has ended. */
    Optional<List<LedgerRequest>> readLedger() throws InterruptedException {
        for (int i = 0; i < AUDIT_ATTEMPTS; i++) {
            Optional<List<LedgerRequest>> rows = operations.readLedger();
            if (rows.isPresent()) {
                return rows;
            }
            Thread.sleep(PREPARE_PAUSE_MILLIS);
        }
        return Optional.empty();
    }

    void close() {
        connector.close();
    }

    private void run() {
        try {
            prepare();
            while (!stopping || !queue.isEmpty()) {
                Arrival arrival = queue.poll(10, TimeUnit.MILLISECONDS);
                if (arrival != null) {
                    serve(arrival);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void prepare() throws InterruptedException {
        for (int i = 0; i < PREPARE_ATTEMPTS && !operations.prepare(); i++) {
            connector.move(1, true);
            Thread.sleep(PREPARE_PAUSE_MILLIS);
        }
        prepared = true;
    }

    private void serve(Arrival arrival) {
        roam();
        Outcome outcome = operations.run(arrival.operation());
        context.meter(identity.account())
                .ended(outcome, operations.withinRate(), arrival.intendedNanos(), System.nanoTime());
        context.operationEnded();
    }

    private void roam() {
        Traffic traffic = context.options().profile().traffic();
        if (random.nextDouble() < traffic.roamShare()) {
            int others = Math.max(1, context.options().vms().size() - 1);
            boolean withToken = random.nextDouble() >= traffic.tokenlessShare();
            connector.move(1 + random.nextInt(others), withToken);
        }
    }

    private record Arrival(Operation operation, long intendedNanos) {}
}
