package org.hyssopswitch.proxy.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.session.SessionToken;
import org.hyssopswitch.proxy.net.DecisionLoop.Timer;
import org.hyssopswitch.proxy.net.FrameChannel;
import org.hyssopswitch.proxy.net.FrameListener;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.StartupMessage;
import org.hyssopswitch.wire.WireFailure;

/** A caller's connection: startup, login, then its session. */
final class CallerConnection implements FrameListener {

    private static final byte[] NO_ENCRYPTION = {'N'};

    private final EntryContext context;
    private final EntrySessions sessions;
    private final FrameChannel channel;
    private final Timer loginTimer;
    private Option<CallerLogin> login = Option.none();
    private Option<CallerSession> session = Option.none();
    private int process;
    private boolean closed;

    CallerConnection(EntryContext context, EntrySessions sessions, FrameChannel channel) {
        this.context = context;
        this.sessions = sessions;
        this.channel = channel;
        this.loginTimer = context.loop().schedule(context.options().loginMillis(), this::loginExpired);
    }

    Option<CallerSession> session() {
        return session;
    }

    /** Ends the connection at its next transaction boundary. */
    void drain() {
        if (session.isDefined()) {
            session.get().drain();
        } else {
            refuse(new Refusal.ShuttingDown());
        }
    }

    /** Reports a failure that ends the connection before its session. */
    void refuse(Refusal refusal) {
        if (closed) {
            return;
        }
        closed = true;
        loginTimer.cancel();
        context.metrics().refused(SessionIdentity.NOBODY, refusal);
        channel.sendAndClose(ErrorFrames.fatal(refusal));
    }

    @Override
    public void framesReceived(List<Frame> frames) {
        if (session.isDefined()) {
            session.get().take(frames);
            return;
        }
        try {
            frames.forEach(this::beforeSession);
        } catch (BufferUnderflowException e) {
            refuse(new Refusal.ProtocolViolation("a frame body ends too early"));
        }
    }

    @Override
    public void badInput(WireFailure failure) {
        Refusal refusal = new Refusal.ProtocolViolation(failure.describe());
        if (session.isDefined()) {
            session.get().endFatal(refusal);
        } else {
            refuse(refusal);
        }
    }

    @Override
    public void closed() {
        closed = true;
        loginTimer.cancel();
        session.forEach(CallerSession::disconnected);
        sessions.removed(this, process);
    }

    private void beforeSession(Frame frame) {
        if (closed) {
            return;
        }
        if (session.isDefined()) {
            // Frames that were sent together with the last frame of the login.
            session.get().take(List.of(frame));
        } else if (login.isDefined()) {
            login.get().take(frame);
        } else {
            StartupMessage.parse(frame)
                    .peek(this::startup)
                    .peekLeft(f -> refuse(new Refusal.ProtocolViolation(f.describe())));
        }
    }

    private void startup(StartupMessage message) {
        if (message instanceof StartupMessage.Session start) {
            channel.endStartup();
            begin(start.parameters());
        } else if (message instanceof StartupMessage.CancelRequest cancel) {
            sessions.cancel(cancel.process(), cancel.secret());
            channel.close();
        } else if (message instanceof StartupMessage.TlsRequest && channel.tlsAvailable()) {
            channel.startTls();
        } else {
            channel.send(NO_ENCRYPTION);
        }
    }

    private void begin(Map<String, String> parameters) {
        Option<Refusal> stale = context.collaborators().freshness().get();
        if (stale.isDefined()) {
            refuse(stale.get());
            return;
        }
        String user = parameters.getOrDefault("user", "");
        if (user.equals(SessionIdentity.OPEN.value())) {
            loggedIn(parameters, new SessionIdentity(SessionIdentity.OPEN, Option.none()));
            return;
        }
        CallerLogin started =
                new CallerLogin(context, channel, user, identity -> identity.peek(i -> loggedIn(parameters, i))
                        .onEmpty(() -> refuse(new Refusal.AuthenticationFailed())));
        login = Option.some(started);
        started.start();
    }

    private void loggedIn(Map<String, String> parameters, SessionIdentity identity) {
        if (closed) {
            return;
        }
        String name = parameters.getOrDefault("database", parameters.getOrDefault("user", ""));
        Option<DatabaseId> database = Try.of(() -> new DatabaseId(name)).toOption();
        Option<Refusal> denied = database.map(d -> identity.check(context.configuration(), d))
                .getOrElse(() -> Option.some(new Refusal.DatabaseUnknown(name)));
        if (denied.isDefined()) {
            refuse(denied.get());
            return;
        }
        SessionIdentity payer =
                identity.keyed() ? identity : SessionIdentity.open(context.configuration(), database.get());
        StartupOptions options = new StartupOptions(parameters);
        Either<Refusal, Option<LogPosition>> floor = options.sessionToken()
                .map(t -> SessionToken.parse(t, database.get()).map(s -> Option.some(s.floor())))
                .getOrElse(Either.right(Option.none()));
        floor.peek(f -> open(payer, database.get(), options, f)).peekLeft(this::refuse);
    }

    private void open(
            SessionIdentity identity, DatabaseId database, StartupOptions options, Option<LogPosition> floor) {
        loginTimer.cancel();
        int secret = context.secrets().nextInt();
        process = sessions.opened(this, secret);
        session = Option.some(new CallerSession(context, channel, identity, database, options.route(), floor));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(BackendFrames.authenticationOk().encode());
        parameters()
                .forEach((k, v) ->
                        out.writeBytes(BackendFrames.parameterStatus(k, v).encode()));
        floor.forEach(f ->
                out.writeBytes(BackendFrames.parameterStatus("hyssop.session", new SessionToken(database, f).format())
                        .encode()));
        out.writeBytes(BackendFrames.backendKeyData(process, secret).encode());
        out.writeBytes(BackendFrames.readyForQuery('I').encode());
        channel.send(out.toByteArray());
    }

    private static Map<String, String> parameters() {
        Map<String, String> parameters = new LinkedHashMap<>();
        parameters.put("server_version", "16.0");
        parameters.put("server_encoding", "UTF8");
        parameters.put("client_encoding", "UTF8");
        parameters.put("DateStyle", "ISO, MDY");
        parameters.put("TimeZone", "UTC");
        parameters.put("integer_datetimes", "on");
        parameters.put("standard_conforming_strings", "on");
        return parameters;
    }

    private void loginExpired() {
        if (session.isEmpty()) {
            channel.close();
        }
    }
}
