package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.proxy.net.FrameChannel;
import org.hyssopswitch.proxy.net.FrameListener;
import org.hyssopswitch.proxy.net.FrameNetwork;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrontendFrames;
import org.hyssopswitch.wire.WireFailure;

/** One connection to an endpoint, from its login to its end. Runs one cycle at a time. */
final class EndpointConnection implements FrameListener {

    private static final int AUTHENTICATION_OK = 0;
    private static final int AUTHENTICATION_CLEARTEXT = 3;

    private final FrameNetwork network;
    private final ConnectionSpec spec;
    private final Owner owner;
    private final Set<String> statements = new HashSet<>();
    private Option<FrameChannel> channel = Option.none();
    private Option<CycleHandler> handler = Option.none();
    private Option<ClientAccountId> account = Option.none();
    private Option<LogPosition> applied = Option.none();
    private String loginError = "";
    private int process;
    private int secret;
    private boolean ready;
    private boolean dirty;
    private boolean cancelled;
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

    boolean usable() {
        return ready && !closed;
    }

    /** The position that the endpoint reported last on this connection. */
    Option<LogPosition> applied() {
        return applied;
    }

    /** The account that used the connection last; nothing for a fresh or reset one. */
    Option<ClientAccountId> account() {
        return account;
    }

    void usedBy(ClientAccountId user) {
        account = Option.some(user);
    }

    /** Notes a statement that the cycle prepares, so that it is closed before another stream runs. */
    void prepares(String statement) {
        statements.add(statement);
    }

    /** Notes that session state was changed. */
    void changed() {
        dirty = true;
    }

    boolean changedState() {
        return dirty;
    }

    Set<String> preparedStatements() {
        return statements;
    }

    /** Notes that the connection is as new. */
    void wasReset() {
        dirty = false;
        account = Option.none();
        statements.clear();
    }

    /** Tells whether a cancel request was sent, which may still hit whatever runs here. */
    boolean wasCancelled() {
        return cancelled;
    }

    /**
     * Sends a cycle or a part of one.
     *
     * @param frames frames, encoded
     * @param target takes the answer
     */
    void run(byte[] frames, CycleHandler target) {
        handler = Option.some(target);
        channel.get().send(frames);
    }

    /** Ends the cycle: whatever arrives next without a new one closes the connection. */
    void cycleEnded() {
        handler = Option.none();
    }

    void pause() {
        channel.forEach(FrameChannel::pause);
    }

    void resume() {
        channel.forEach(FrameChannel::resume);
    }

    /** Asks the endpoint to cancel what runs; the connection must be closed when its stream ends. */
    void cancel() {
        cancelled = true;
        byte[] request = FrontendFrames.cancelRequest(process, secret).encode();
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
        if (ready) {
            answered(frames);
            return;
        }
        frames.forEach(this::loginFrame);
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
            owner.openFailed(this, loginError);
        }
        running.forEach(CycleHandler::lost);
    }

    private void answered(List<Frame> frames) {
        frames.forEach(this::noteParameter);
        if (handler.isDefined()) {
            handler.get().answered(frames);
            return;
        }
        // An answer that nobody waits for is late or crossed; only notices and parameters come unasked.
        if (!frames.stream().allMatch(f -> f.is('S') || f.is('N'))) {
            closed();
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

    private void loginFrame(Frame frame) {
        if (closed || ready) {
            return;
        }
        switch ((char) frame.type()) {
            case 'R' -> authenticate(new BodyReader(frame.body()).readInt());
            case 'S' -> noteParameter(frame);
            case 'K' -> keyData(new BodyReader(frame.body()));
            case 'E' -> {
                loginError = BackendFrames.parseError(frame)
                        .map(BackendFrames.ErrorReport::sqlState)
                        .getOrElse("");
                closed();
            }
            case 'Z' -> {
                ready = true;
                owner.opened(this);
            }
            default -> {
                // notices
            }
        }
    }

    private void authenticate(int code) {
        if (code == AUTHENTICATION_CLEARTEXT) {
            channel.get().send(FrontendFrames.password(spec.user().password()).encode());
        } else if (code != AUTHENTICATION_OK) {
            closed();
        }
    }

    private void keyData(BodyReader body) {
        process = body.readInt();
        secret = body.readInt();
    }

    private void noteParameter(Frame frame) {
        if (frame.is('S')) {
            BackendFrames.parseParameterStatus(frame)
                    .toOption()
                    .filter(p -> p.name().equals(EndpointParameters.APPLIED))
                    .flatMap(p -> EndpointParameters.position(p.value()))
                    .forEach(p -> applied = Option.some(p));
        }
    }

    /** Who opened the connection. */
    interface Owner {

        void opened(EndpointConnection connection);

        void openFailed(EndpointConnection connection, String sqlState);

        void lost(EndpointConnection connection);
    }

    /** The endpoint closes a connection that carried a cancel request. */
    private static final class CancelListener implements FrameListener {

        @Override
        public void framesReceived(List<Frame> frames) {}

        @Override
        public void badInput(WireFailure failure) {}

        @Override
        public void closed() {}
    }
}
