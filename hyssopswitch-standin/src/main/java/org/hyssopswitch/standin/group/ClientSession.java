package org.hyssopswitch.standin.group;

import io.vavr.control.Either;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopswitch.standin.sql.SqlError;
import org.hyssopswitch.standin.sql.SqlFailure;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrameDecoder;
import org.hyssopswitch.wire.StartupMessage;
import org.hyssopswitch.wire.WireFailure;

/** One client connection from its startup to its end. Confined to the group's thread. */
final class ClientSession {

    private static final int MAX_FRAME_BYTES = 4 << 20;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EndpointRuntime runtime;
    private final ByteSink sink;
    private final FrameDecoder decoder = new FrameDecoder(true, MAX_FRAME_BYTES);
    private final Deque<Frame> inbox = new ArrayDeque<>();
    private final SessionOutput output;
    private final int process;
    private final int secret;
    private final Map<String, String> parameters = new HashMap<>();
    private Optional<QueryProtocol> queries = Optional.empty();
    private boolean started;
    private boolean opening;
    private boolean ended;

    ClientSession(EndpointRuntime runtime, ByteSink sink) {
        this.runtime = runtime;
        this.sink = sink;
        this.process = runtime.nextProcess();
        this.secret = runtime.nextSecret();
        this.output = new SessionOutput(runtime.thread(), sink, this::blocked, () -> runtime.faults()
                .slowMillis(runtime.endpoint().id()));
    }

    int process() {
        return process;
    }

    int secret() {
        return secret;
    }

    String applicationName() {
        return parameters.getOrDefault("application_name", "");
    }

    /** Takes bytes from the client. */
    void receive(byte[] bytes) {
        if (!ended) {
            take(decoder.feed(ByteBuffer.wrap(bytes)));
        }
    }

    /** Ends the session because its connection is gone. */
    void disconnected() {
        if (ended) {
            return;
        }
        ended = true;
        queries.ifPresent(QueryProtocol::end);
        runtime.closed(this);
    }

    /** Closes the connection without a word. */
    void abort() {
        disconnected();
        sink.close();
    }

    void cancel() {
        queries.ifPresent(QueryProtocol::cancel);
    }

    /** Continues after a fault that blocked the session has ended. */
    void resume() {
        output.drain();
        handleInbox();
    }

    private boolean blocked() {
        return runtime.faults().frozen(runtime.endpoint().id())
                || runtime.faults().cut(runtime.endpoint().id(), applicationName());
    }

    private void take(Either<WireFailure, List<Frame>> frames) {
        if (frames.isLeft()) {
            fatal(new SqlFailure(SqlError.PROTOCOL_VIOLATION, frames.getLeft().describe()));
            return;
        }
        inbox.addAll(frames.get());
        handleInbox();
    }

    private void handleInbox() {
        while (!inbox.isEmpty() && !ended && !opening && !blocked() && !busy()) {
            handle(inbox.remove());
        }
    }

    private boolean busy() {
        return queries.map(QueryProtocol::busy).orElse(false);
    }

    private void handle(Frame frame) {
        try {
            if (frame.type() == Frame.STARTUP) {
                StartupMessage.parse(frame)
                        .peek(this::startup)
                        .peekLeft(f -> fatal(new SqlFailure(SqlError.PROTOCOL_VIOLATION, f.describe())));
            } else if (frame.is('X')) {
                disconnected();
                sink.close();
            } else if (queries.isEmpty()) {
                password(frame);
            } else {
                queries.get().handle(frame);
            }
        } catch (BufferUnderflowException e) {
            fatal(new SqlFailure(SqlError.PROTOCOL_VIOLATION, "a frame body ends too early"));
        }
    }

    private void startup(StartupMessage message) {
        if (message instanceof StartupMessage.Session session) {
            begin(session);
        } else if (message instanceof StartupMessage.CancelRequest cancel) {
            runtime.cancel(cancel.process(), cancel.secret());
            disconnected();
            sink.close();
        } else {
            output.addRaw('N');
            output.flush();
            take(decoder.drain());
        }
    }

    private void begin(StartupMessage.Session session) {
        parameters.putAll(session.parameters());
        started = true;
        if (!runtime.open(this)) {
            fatal(new SqlFailure(SqlError.TOO_MANY_CONNECTIONS, "sorry, too many clients already"));
            return;
        }
        output.add(BackendFrames.authenticationCleartext());
        output.flush();
        decoder.endStartup();
        take(decoder.drain());
    }

    private void password(Frame frame) {
        if (!started || !frame.is('p')) {
            fatal(new SqlFailure(SqlError.PROTOCOL_VIOLATION, "expected the password"));
            return;
        }
        String user = parameters.getOrDefault("user", "");
        Credential given = new Credential(user.isEmpty() ? "?" : user, new BodyReader(frame.body()).readString());
        boolean reader = given.equals(runtime.settings().reader());
        String database = parameters.getOrDefault("database", user);
        if (!reader && !given.equals(runtime.settings().writer())) {
            fatal(new SqlFailure(
                    SqlError.AUTHENTICATION_FAILED, "password authentication failed for user \"" + user + "\""));
        } else if (!database.equals(runtime.settings().database().value())) {
            fatal(new SqlFailure(SqlError.DATABASE_UNKNOWN, "database \"" + database + "\" does not exist"));
        } else {
            opening = true;
            long costNanos = runtime.settings().connectionCostMillis() * NANOS_PER_MILLI;
            runtime.thread().schedule(() -> runtime.whenAwake(() -> opened(reader)), costNanos);
        }
    }

    private void opened(boolean reader) {
        if (ended) {
            return;
        }
        opening = false;
        output.add(BackendFrames.authenticationOk());
        Map<String, String> reported = Map.of(
                "server_version", "16.0",
                "server_encoding", "UTF8",
                "client_encoding", "UTF8",
                "DateStyle", "ISO, MDY",
                "TimeZone", "UTC",
                "integer_datetimes", "on",
                "standard_conforming_strings", "on",
                "application_name", applicationName());
        reported.forEach((k, v) -> output.add(BackendFrames.parameterStatus(k, v)));
        output.add(BackendFrames.backendKeyData(process, secret));
        QueryProtocol protocol = new QueryProtocol(runtime, reader, parameters, output, this::handleInbox);
        queries = Optional.of(protocol);
        protocol.ready();
        handleInbox();
    }

    private void fatal(SqlFailure failure) {
        output.add(BackendFrames.errorResponse("FATAL", failure.error().sqlState(), failure.describe(), "", ""));
        disconnected();
        output.close();
    }
}
