package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.connection.AnswerSequence;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.proxy.net.FrameChannel;
import org.hyssopswitch.proxy.net.FrameListener;
import org.hyssopswitch.proxy.net.FrameNetwork;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrontendFrames;
import org.hyssopswitch.wire.WireFailure;

/** A connection to an endpoint, including its login. It runs one cycle at a time. */
final class EndpointConnection implements FrameListener {

    private static final Logger LOG = LogManager.getLogger(EndpointConnection.class);
    private static final int FRAME_HEADER_BYTES = 5;
    private static final int AUTHENTICATION_OK = 0;
    private static final int AUTHENTICATION_CLEARTEXT = 3;

    private final FrameNetwork network;
    private final ConnectionSpec spec;
    private final Owner owner;
    private final Set<String> preparedStatements = new HashSet<>();
    private final AnswerSequence answers = new AnswerSequence();
    private final AnswerMark mark = new AnswerMark();
    private Option<FrameChannel> channel = Option.none();
    private Option<CycleHandler> handler = Option.none();
    private Option<ClientAccountId> account = Option.none();
    private Option<LogPosition> applied = Option.none();
    private String loginSqlState = "";
    private int processId;
    private int secretKey;
    private boolean passwordSent;
    private boolean authenticated;
    private boolean ready;
    private boolean stateChanged;
    private boolean cancelRequested;
    private boolean closed;

    EndpointConnection(FrameNetwork network, ConnectionSpec spec, Owner owner) {
        this.network = network;
        this.spec = spec;
        this.owner = owner;
    }

    void open() {
        network.connect(spec.endpoint().host(), spec.endpoint().port(), this, this::login);
    }

    boolean isReader(EndpointUsers users) {
        return spec.user().equals(users.reader());
    }

    EndpointUser user() {
        return spec.user();
    }

    boolean isUsable() {
        return ready && !closed;
    }

    /** Returns the last log position that the endpoint reported on this connection. */
    Option<LogPosition> applied() {
        return applied;
    }

    /** Returns the account that last used the connection; empty for a new or reset connection. */
    Option<ClientAccountId> account() {
        return account;
    }

    void setAccount(ClientAccountId newAccount) {
        account = Option.some(newAccount);
    }

    /** Records a statement that the cycle prepares, so that it is closed before another stream uses the connection. */
    void addPreparedStatement(String statement) {
        preparedStatements.add(statement);
    }

    /** Records that a cycle changed session state, so that the connection is reset before another stream uses it. */
    void markStateChanged() {
        stateChanged = true;
    }

    boolean hasStateChanged() {
        return stateChanged;
    }

    Set<String> preparedStatements() {
        return preparedStatements;
    }

    /** Records that the session state was reset. */
    void markReset() {
        stateChanged = false;
        account = Option.none();
        preparedStatements.clear();
    }

    /** Whether a cancel request was sent; it may still cancel a later cycle on this connection. */
    boolean isCancelRequested() {
        return cancelRequested;
    }

    /**
     * Sends all or part of a cycle, behind a mark that its answer repeats.
     *
     * @param frames the encoded frames
     * @param newHandler receives the answer
     */
    void run(byte[] frames, CycleHandler newHandler) {
        handler = Option.some(newHandler);
        byte[] marked = mark.next(frames);
        answers.markSent(mark.description());
        expectAnswers(ByteBuffer.wrap(frames));
        channel.get().send(marked);
    }

    /** Ends a copy that the endpoint has started; the refusal answers no frame of its own. */
    void refuseCopy(byte[] copyFail) {
        channel.get().send(copyFail);
    }

    /**
     * Ends the cycle. Until the next one starts, any frame other than a notice or a parameter closes the connection.
     */
    void endCycle() {
        handler = Option.none();
    }

    void pause() {
        channel.forEach(FrameChannel::pause);
    }

    void resume() {
        channel.forEach(FrameChannel::resume);
    }

    /**
     * Requests the endpoint to cancel the running cycle. The connection must not be reused by another stream, because
     * the request may arrive late.
     */
    void cancel() {
        cancelRequested = true;
        byte[] request = FrontendFrames.cancelRequest(processId, secretKey).encode();
        network.connect(spec.endpoint().host(), spec.endpoint().port(), new CancelListener(), c -> c.send(request));
    }

    void close() {
        if (closed) {
            return;
        }
        closed = true;
        channel.forEach(FrameChannel::close);
        handler = Option.none();
    }

    @Override
    public void framesReceived(List<Frame> frames) {
        if (closed) {
            return;
        }
        List<Frame> answer = new ArrayList<>();
        for (Frame frame : frames) {
            if (closed) {
                return;
            }
            if (!ready) {
                handleLoginFrame(frame);
            } else if (fits(frame, answer) && frame.is('Z')) {
                // What follows in the same packet answers another cycle, or none.
                deliver(answer);
                answer = new ArrayList<>();
            }
        }
        if (!closed && !answer.isEmpty()) {
            deliver(answer);
        }
    }

    @Override
    public void badInput(WireFailure failure) {
        closed();
    }

    @Override
    public void closed() {
        if (closed) {
            return;
        }
        Option<CycleHandler> running = handler;
        boolean wasReady = ready;
        close();
        if (wasReady) {
            owner.lost(this);
        } else {
            owner.openFailed(this, loginSqlState);
        }
        running.forEach(CycleHandler::connectionLost);
    }

    private void deliver(List<Frame> frames) {
        handler.forEach(h -> h.framesReceived(List.copyOf(frames)));
    }

    /** Adds a frame to the answer of the running cycle; closes the connection if the frame does not belong to it. */
    private boolean fits(Frame frame, List<Frame> answer) {
        AnswerSequence.Verdict verdict = answers.received((char) frame.type(), frame.body());
        if (verdict == AnswerSequence.Verdict.OUT_OF_STEP || !isReadable(frame) || !recordPosition(frame)) {
            outOfStep(frame);
            return false;
        }
        if (verdict == AnswerSequence.Verdict.ANSWER && handler.isDefined()) {
            answer.add(frame);
        }
        return true;
    }

    private void outOfStep(Frame frame) {
        LOG.warn(
                "event=endpoint_out_of_step endpoint={} user={} frame_type={} ready={} running={}",
                spec.endpoint().id(),
                spec.user(),
                frame.type(),
                ready,
                handler.isDefined());
        closed();
    }

    /** Whether the fields that homes read are whole; a handler may rely on it. */
    private static boolean isReadable(Frame frame) {
        return switch ((char) frame.type()) {
            case 'C' -> BackendFrames.parseCommandComplete(frame).isRight();
            case 'E' -> BackendFrames.parseError(frame).isRight();
            case 'S' -> BackendFrames.parseParameterStatus(frame).isRight();
            default -> true;
        };
    }

    private void expectAnswers(ByteBuffer frames) {
        while (frames.remaining() >= FRAME_HEADER_BYTES) {
            char type = (char) frames.get();
            int bodyBytes = frames.getInt() - Integer.BYTES;
            boolean ofStatement = bodyBytes > 0 && frames.get(frames.position()) == 'S';
            answers.sent(type, ofStatement);
            frames.position(frames.position() + bodyBytes);
        }
    }

    private void login(FrameChannel opened) {
        if (closed) {
            opened.close();
            return;
        }
        channel = Option.some(opened);
        opened.send(FrontendFrames.startup(Map.of(
                        "user", spec.user().name(),
                        "database", spec.database().value(),
                        "application_name", spec.application()))
                .encode());
    }

    private void handleLoginFrame(Frame frame) {
        if (closed || ready) {
            return;
        }
        switch ((char) frame.type()) {
            case 'R' -> authenticate(frame);
            case 'S' -> recordApplied(frame);
            case 'K' ->
                BackendFrames.parseKeyData(frame).peek(this::recordKeyData).peekLeft(f -> outOfStep(frame));
            case 'E' -> {
                loginSqlState = BackendFrames.parseError(frame)
                        .map(BackendFrames.ErrorReport::sqlState)
                        .getOrElse("");
                closed();
            }
            case 'Z' -> {
                if (authenticated) {
                    ready = true;
                    owner.opened(this);
                } else {
                    outOfStep(frame);
                }
            }
            default -> {
                // Notices are ignored during login.
            }
        }
    }

    /** An endpoint asks for the password once, and for nothing after it has accepted the login. */
    private void authenticate(Frame frame) {
        int code = BackendFrames.parseAuthentication(frame).getOrElse(-1);
        if (code == AUTHENTICATION_CLEARTEXT && !passwordSent && !authenticated) {
            passwordSent = true;
            channel.get().send(FrontendFrames.password(spec.user().password()).encode());
        } else if (code == AUTHENTICATION_OK && !authenticated) {
            authenticated = true;
        } else {
            outOfStep(frame);
        }
    }

    private void recordKeyData(BackendFrames.KeyData key) {
        processId = key.process();
        secretKey = key.secret();
    }

    /** Records a reported log position. Returns false if no position may be reported now. */
    private boolean recordPosition(Frame frame) {
        if (!frame.is('S')) {
            return true;
        }
        Option<BackendFrames.Parameter> position = BackendFrames.parseParameterStatus(frame)
                .toOption()
                .filter(p -> p.name().startsWith(EndpointParameters.PREFIX));
        if (position.isEmpty()) {
            return true;
        }
        recordApplied(frame);
        return answers.mayReportPositions()
                && position.filter(p -> p.name().equals(EndpointParameters.COMMIT))
                        .flatMap(p -> EndpointParameters.position(p.value()))
                        .forAll(answers::commitReported);
    }

    private void recordApplied(Frame frame) {
        BackendFrames.parseParameterStatus(frame)
                .toOption()
                .filter(p -> p.name().equals(EndpointParameters.APPLIED))
                .flatMap(p -> EndpointParameters.position(p.value()))
                .forEach(p -> applied = Option.some(p));
    }

    /** Receives changes in the state of a connection from the component that opened it. */
    interface Owner {

        void opened(EndpointConnection connection);

        void openFailed(EndpointConnection connection, String sqlState);

        void lost(EndpointConnection connection);
    }

    /** Ignores all events: the endpoint closes a cancel connection without an answer. */
    private static final class CancelListener implements FrameListener {

        @Override
        public void framesReceived(List<Frame> frames) {}

        @Override
        public void badInput(WireFailure failure) {}

        @Override
        public void closed() {}
    }
}
