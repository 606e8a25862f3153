package org.hyssopswitch.proxy.home;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.proxy.net.DecisionLoop;
import org.hyssopswitch.proxy.net.DecisionLoop.Timer;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrontendFrames;

/** A connection for control calls, which run one at a time in the order of the calls. It is opened on demand. */
final class ControlConnection implements EndpointConnection.Owner, CycleHandler {

    private final DecisionLoop loop;
    private final EndpointId endpoint;
    private final Function<EndpointConnection.Owner, EndpointConnection> opener;
    private final Queue<Call> calls = new ArrayDeque<>();
    private Option<EndpointConnection> connection = Option.none();
    private Option<Call> current = Option.none();
    private Option<Either<ControlFailure, ControlReply>> result = Option.none();

    ControlConnection(
            DecisionLoop loop, EndpointId endpoint, Function<EndpointConnection.Owner, EndpointConnection> opener) {
        this.loop = loop;
        this.endpoint = endpoint;
        this.opener = opener;
    }

    /**
     * Queues a call.
     *
     * @param request the request
     * @param timeoutMillis milliseconds after which the call fails, including its time in the queue
     * @param callback receives the reply or the failure
     */
    void call(ControlRequest request, long timeoutMillis, Consumer<Either<ControlFailure, ControlReply>> callback) {
        Call call = new Call(request, timeoutMillis, callback);
        call.timer = Option.some(loop.schedule(timeoutMillis, () -> timedOut(call)));
        calls.add(call);
        if (connection.isEmpty()) {
            EndpointConnection opened = opener.apply(this);
            connection = Option.some(opened);
            opened.open();
        } else {
            runNext();
        }
    }

    void close() {
        connection.forEach(EndpointConnection::close);
        failAll();
    }

    @Override
    public void opened(EndpointConnection opened) {
        runNext();
    }

    @Override
    public void openFailed(EndpointConnection failed, String sqlState) {
        lost(failed);
    }

    @Override
    public void lost(EndpointConnection broken) {
        if (connection.contains(broken)) {
            failAll();
        }
    }

    @Override
    public void framesReceived(List<Frame> frames) {
        frames.forEach(this::handleFrame);
    }

    @Override
    public void connectionLost() {
        // lost(EndpointConnection), which runs first, has already failed the call.
    }

    private void handleFrame(Frame frame) {
        if (frame.is('D')) {
            result = Option.some(ControlCodec.parseReply(endpoint, frame));
        } else if (frame.is('E')) {
            String sqlState = BackendFrames.parseError(frame)
                    .map(BackendFrames.ErrorReport::sqlState)
                    .getOrElse("");
            result = Option.some(Either.left(new ControlFailure.CallRefused(endpoint, sqlState)));
        } else if (frame.is('Z')) {
            completeCurrent();
        }
    }

    private void completeCurrent() {
        connection.forEach(EndpointConnection::endCycle);
        Option<Call> done = current;
        Either<ControlFailure, ControlReply> answer =
                result.getOrElse(() -> Either.left(new ControlFailure.BadReply(endpoint, "no row")));
        current = Option.none();
        result = Option.none();
        done.forEach(c -> c.complete(answer));
        runNext();
    }

    private void runNext() {
        if (current.isDefined() || calls.isEmpty() || !connection.exists(EndpointConnection::isUsable)) {
            return;
        }
        Call call = calls.remove();
        current = Option.some(call);
        connection
                .get()
                .run(FrontendFrames.query(ControlCodec.toSql(call.request)).encode(), this);
    }

    /**
     * Fails a call that timed out. A running call blocks the connection, which is therefore closed as well; so is a
     * connection that is still being opened.
     */
    private void timedOut(Call call) {
        if (calls.remove(call)) {
            call.complete(Either.left(new ControlFailure.TimedOut(endpoint, call.timeoutMillis)));
            if (!connection.exists(EndpointConnection::isUsable)) {
                connection.forEach(EndpointConnection::close);
                failAll();
            }
        } else if (current.contains(call)) {
            current = Option.none();
            call.complete(Either.left(new ControlFailure.TimedOut(endpoint, call.timeoutMillis)));
            connection.forEach(EndpointConnection::close);
            failAll();
        }
    }

    private void failAll() {
        connection = Option.none();
        result = Option.none();
        Queue<Call> failed = new ArrayDeque<>(calls);
        calls.clear();
        current.forEach(failed::add);
        current = Option.none();
        failed.forEach(c -> c.complete(Either.left(new ControlFailure.ConnectionLost(endpoint))));
    }

    private static final class Call {

        private final ControlRequest request;
        private final long timeoutMillis;
        private final Consumer<Either<ControlFailure, ControlReply>> callback;
        private Option<Timer> timer = Option.none();

        Call(ControlRequest request, long timeoutMillis, Consumer<Either<ControlFailure, ControlReply>> callback) {
            this.request = request;
            this.timeoutMillis = timeoutMillis;
            this.callback = callback;
        }

        void complete(Either<ControlFailure, ControlReply> result) {
            timer.forEach(Timer::cancel);
            callback.accept(result);
        }
    }
}
