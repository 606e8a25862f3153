package org.hyssopswitch.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.load.audit.LedgerRequest;
import org.hyssopswitch.load.profile.AccountProfile;
import org.hyssopswitch.load.profile.Operation;
import org.hyssopswitch.load.report.LoadReport;

/**
 * Runs a load and audits it.
 *
 * <p>Operations arrive by the schedule whether or not earlier ones have ended; latencies count from the arrival.
 */
public final class LoadRunner {

    private static final long PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long PREPARE_POLL_MILLIS = 10;
    private static final long READ_SECONDS = 20;
    private static final long READ_RETRY_MILLIS = 250;
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadOptions options;
    private final Consumer<LoadProgress> progress;
    private final RunContext context;
    private final SplittableRandom random;
    private final Map<String, List<SessionWorker>> workers = new LinkedHashMap<>();
    private long arrived;

    /**
     * Creates a runner for one run.
     *
     * @param options what to run
     * @param progress told about once in a second
     */
    public LoadRunner(LoadOptions options, Consumer<LoadProgress> progress) {
        this.options = options;
        this.progress = progress;
        this.context = new RunContext(options);
        this.random = new SplittableRandom(options.seed());
        String run = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
        options.profile().accounts().forEach(a -> workers.put(a.name(), create(a, run)));
    }

    /** Runs the load to its end and gives the report; call it once. */
    public LoadReport run() {
        try {
            all().forEach(SessionWorker::start);
            awaitPrepared();
            long start = System.nanoTime();
            arrivals(start);
            long end = System.nanoTime();
            all().forEach(SessionWorker::stop);
            awaitEnded();
            Map<String, Double> gaps = context.gapMillis(end);
            List<String> unaudited = reconcile();
            return report((end - start) / NANOS_PER_SECOND, gaps, unaudited);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HyssopException("the load was interrupted", e);
        } finally {
            all().forEach(SessionWorker::close);
        }
    }

    private List<SessionWorker> create(AccountProfile account, String run) {
        List<String> databases = options.profile().deployment().databases();
        List<SessionWorker> sessions = new ArrayList<>();
        for (int i = 0; i < account.sessions(); i++) {
            SessionIdentity identity = new SessionIdentity(account.name(), databases.get(i % databases.size()), i);
            sessions.add(new SessionWorker(identity, context, run, random.split()));
        }
        return sessions;
    }

    private void awaitPrepared() throws InterruptedException {
        for (SessionWorker worker : all()) {
            while (!worker.prepared()) {
                Thread.sleep(PREPARE_POLL_MILLIS);
            }
        }
    }

    private void arrivals(long startNanos) {
        ArrivalSchedule schedule = new ArrivalSchedule(options.profile().accounts(), random.split());
        long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(options.durationMillis());
        long nextProgress = startNanos + PROGRESS_NANOS;
        while (true) {
            ArrivalSchedule.Next next = schedule.next();
            long due = startNanos + (long) next.nanos();
            if (due - endNanos >= 0) {
                break;
            }
            for (long now = System.nanoTime(); now - due < 0; now = System.nanoTime()) {
                LockSupport.parkNanos(due - now);
            }
            dispatch(next, due);
            if (due - nextProgress >= 0) {
                report(due - startNanos);
                nextProgress += PROGRESS_NANOS;
            }
        }
    }

    private void dispatch(ArrivalSchedule.Next next, long dueNanos) {
        Operation operation = options.profile().traffic().draw(next.random());
        List<SessionWorker> sessions = workers.get(next.account().name());
        sessions.get(next.random().nextInt(sessions.size())).offer(operation, dueNanos);
        arrived++;
    }

    private void report(long elapsedNanos) {
        long breaches = context.audit().counts().values().stream()
                .mapToLong(Long::longValue)
                .sum();
        progress.accept(
                new LoadProgress(TimeUnit.NANOSECONDS.toMillis(elapsedNanos), arrived, context.ended(), breaches));
    }

    private void awaitEnded() throws InterruptedException {
        long deadline = System.nanoTime() + 2 * TimeUnit.MILLISECONDS.toNanos(options.answerTimeoutMillis());
        for (SessionWorker worker : all()) {
            worker.join(TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()));
        }
    }

    /** Reads every ledger through a session that has ended; gives those that could not be read. */
    private List<String> reconcile() throws InterruptedException {
        List<String> unaudited = new ArrayList<>();
        Map<String, SessionWorker> readers = new LinkedHashMap<>();
        for (SessionWorker worker : all()) {
            String ledger =
                    worker.identity().database() + "/" + worker.identity().account();
            if (worker.join(1)) {
                readers.put(ledger, worker);
            } else if (!readers.containsKey(ledger)) {
                unaudited.add(ledger);
            }
        }
        unaudited.removeAll(readers.keySet());
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READ_SECONDS);
        for (Map.Entry<String, SessionWorker> reader : readers.entrySet()) {
            SessionIdentity identity = reader.getValue().identity();
            Optional<List<LedgerRequest>> rows = readLedger(reader.getValue(), deadline);
            rows.ifPresent(r -> context.audit().reconcile(identity.database(), identity.account(), r));
            if (rows.isEmpty()) {
                unaudited.add(reader.getKey());
            }
        }
        return unaudited;
    }

    /** Reads a ledger, at another VM after each failure; a refusal of the audit's own read is no finding. */
    private static Optional<List<LedgerRequest>> readLedger(SessionWorker reader, long deadlineNanos)
            throws InterruptedException {
        Optional<List<LedgerRequest>> rows = reader.readLedger();
        while (rows.isEmpty() && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(READ_RETRY_MILLIS);
            rows = reader.readLedger();
        }
        return rows;
    }

    private LoadReport report(double seconds, Map<String, Double> gaps, List<String> unaudited) {
        return new LoadReport(
                options.profile().name(),
                options.seed(),
                seconds,
                context.accountReports(),
                context.readsByRole(),
                gaps,
                context.audit().counts(),
                context.audit().details(),
                unaudited);
    }

    private List<SessionWorker> all() {
        return workers.values().stream().flatMap(List::stream).toList();
    }
}
