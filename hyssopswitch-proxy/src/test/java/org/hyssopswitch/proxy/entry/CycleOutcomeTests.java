package org.hyssopswitch.proxy.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.key.ScramUtils;
import org.hyssopswitch.core.retry.Backoff;
import org.hyssopswitch.core.retry.RetryBudget;
import org.hyssopswitch.core.retry.RetryPolicy;
import org.hyssopswitch.core.session.Selection;
import org.hyssopswitch.proxy.forward.AnswerEnd;
import org.hyssopswitch.proxy.forward.AnswerState;
import org.hyssopswitch.proxy.forward.Confirmation;
import org.hyssopswitch.proxy.forward.ExecuteCycle;
import org.hyssopswitch.proxy.forward.TransactionState;
import org.hyssopswitch.proxy.net.DecisionLoop;
import org.hyssopswitch.proxy.net.FrameChannel;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrameDecoder;
import org.hyssopswitch.wire.FrontendFrames;
import org.junit.jupiter.api.Test;

/** What a caller is told about a statement whose earlier attempt may have run. */
class CycleOutcomeTests {

    private static final DatabaseId DATABASE = new DatabaseId("orders");
    private static final VmAddress HOME =
            new VmAddress(new VmId("vm-1"), 2, new DataCentreId("recife"), new CellId("recife-1"), "127.0.0.1", 1);
    private static final EndpointId ENDPOINT = new EndpointId("orders-1");
    private static final Selection USE = new Selection.Use(ENDPOINT, true);
    private static final Selection UNAVAILABLE = new Selection.Unavailable(1_000);
    private static final String WRITE = "INSERT INTO kv (key, value) VALUES ('k', 'v') /* route='repeat' */";
    private static final String READ = "SELECT 1 /* route='latest' */";

    private final ManualLoop loop = new ManualLoop();
    private final List<ExecuteCycle> sent = new ArrayList<>();
    private final Queue<Selection> selections = new ArrayDeque<>();
    private final RecordingChannel channel = new RecordingChannel();
    private final Forwarder forwarder = new Forwarder(HOME, (to, message) -> {
        if (message instanceof ExecuteCycle cycle) {
            sent.add(cycle);
        }
    });
    private final CallerSession session = session();

    /** Guards against "not run" (57P03) for a repeatable write whose first attempt may have run. */
    @Test
    void saysUnknownWhenNoEndpointIsFoundAfterAWriteThatMayHaveRun() {
        run(WRITE, USE, UNAVAILABLE);
        answer(AnswerState.UNKNOWN);
        loop.runAll();
        assertEquals("08007", channel.sqlState());
    }

    /** Guards against the same when the repetition meets a full queue. */
    @Test
    void saysUnknownWhenTheRepetitionOfAWriteIsRefused() {
        run(WRITE, USE, USE);
        answer(AnswerState.UNKNOWN);
        loop.runAll();
        answer(AnswerState.OVERLOADED);
        assertEquals("08007", channel.sqlState());
    }

    /** Guards against the same when the caller cancels between two attempts. */
    @Test
    void saysUnknownWhenAWriteIsCancelledBetweenTwoAttempts() {
        run(WRITE, USE);
        answer(AnswerState.UNKNOWN);
        session.cancel();
        assertEquals("08007", channel.sqlState());
    }

    /** Guards against a refusal that is vaguer than it needs to be. */
    @Test
    void saysNotRunWhenNoAttemptMayHaveRunOrOnlyReadsDid() {
        run(WRITE, UNAVAILABLE);
        assertEquals("57P03", channel.sqlState());
        run(READ, USE, UNAVAILABLE);
        answer(AnswerState.UNKNOWN);
        loop.runAll();
        assertEquals("57P03", channel.sqlState());
    }

    private void run(String sql, Selection... choices) {
        selections.addAll(List.of(choices));
        session.take(List.of(FrontendFrames.query(sql)));
    }

    private void answer(AnswerState state) {
        ExecuteCycle cycle = sent.get(sent.size() - 1);
        forwarder.messageReceived(
                HOME,
                new AnswerEnd(
                        cycle.stream(),
                        cycle.epoch(),
                        cycle.sequence(),
                        state,
                        TransactionState.IDLE,
                        Confirmation.NONE,
                        0,
                        "test",
                        new byte[0]));
    }

    private CallerSession session() {
        EndpointDeclaration endpoint =
                new EndpointDeclaration(ENDPOINT, HOME.dataCentre(), HOME.cell(), "127.0.0.1", 1, false);
        TeamId team = new TeamId("team");
        ClientAccountId school = new ClientAccountId("school");
        KeyVerifier key = ScramUtils.derive(new KeyId("school-1"), "key", new byte[16], 4_096);
        Configuration configuration = new Configuration(
                1,
                Map.of(
                        team,
                        new TeamConfiguration(
                                team,
                                1,
                                List.of(new DatabaseDeclaration(DATABASE, List.of(endpoint), 3, 34)),
                                List.of(new AccountDeclaration(
                                        school, new Rate(100, 100), List.of(DATABASE), List.of(key))),
                                List.of(
                                        new RouteDeclaration(new RouteId("repeat"), DATABASE, false, 0, true, false),
                                        new RouteDeclaration(new RouteId("latest"), DATABASE, true, 0, true, true)))));
        EntryCollaborators collaborators = new EntryCollaborators(
                () -> configuration,
                Option::none,
                (account, now) -> Option.none(),
                (request, now) -> selections.remove(),
                (ticket, database, deadline) -> {},
                declaration -> List.of(HOME),
                new RetryPolicy(
                        RetryPolicy.DEFAULT_MAX_ATTEMPTS,
                        new RetryBudget(1, 10),
                        new Backoff(10, 200, new SplittableRandom(7))),
                (to, message) -> {},
                new MetricRegistry());
        EntryContext context = new EntryContext(
                loop,
                EntryOptions.DEFAULT,
                collaborators,
                forwarder,
                new EntryMetrics(new MetricRegistry()),
                new ConfirmedPositions(),
                new FloorRequests(collaborators.floors()),
                new SecureRandom());
        SessionIdentity identity = new SessionIdentity(school, Option.some(key));
        return new CallerSession(context, channel, identity, DATABASE, Option.none(), Option.none());
    }

    /** Runs scheduled tasks when the test says so; those a second or more away stay. */
    private static final class ManualLoop implements DecisionLoop {

        private static final long FAR_MILLIS = 1_000;

        private final List<Runnable> scheduled = new ArrayList<>();

        void runAll() {
            List<Runnable> due = List.copyOf(scheduled);
            scheduled.clear();
            due.forEach(Runnable::run);
        }

        @Override
        public long nowMillis() {
            return 0;
        }

        @Override
        public Timer schedule(long delayMillis, Runnable task) {
            if (delayMillis < FAR_MILLIS) {
                scheduled.add(task);
            }
            return () -> scheduled.remove(task);
        }

        @Override
        public void execute(Runnable task) {
            task.run();
        }
    }

    private static final class RecordingChannel implements FrameChannel {

        private final FrameDecoder decoder = new FrameDecoder(false, 1 << 20);
        private final List<Frame> frames = new ArrayList<>();

        /** The SQLSTATE of the last error. */
        String sqlState() {
            return frames.stream()
                    .filter(f -> f.is('E'))
                    .map(f -> BackendFrames.parseError(f).get().sqlState())
                    .reduce("", (first, second) -> second);
        }

        @Override
        public void send(byte[] bytes, Runnable written) {
            frames.addAll(decoder.feed(ByteBuffer.wrap(bytes)).get());
        }

        @Override
        public void sendAndClose(byte[] bytes) {
            send(bytes);
        }

        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void endStartup() {}

        @Override
        public void startTls() {}

        @Override
        public boolean tlsAvailable() {
            return false;
        }

        @Override
        public boolean confidential() {
            return true;
        }

        @Override
        public void close() {}
    }
}
