package org.hyssopswitch.peer;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Connection;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/** A link that this VM dialled; it carries messages to the other VM only. Frames wait until the link is open. */
final class OutboundLink implements LinkEnd {

    private final LinkContext context;
    private final VmAddress to;
    private final BiConsumer<OutboundLink, PeerFailure> onFailure;
    private final Consumer<OutboundLink> onOpen;
    private final LongSupplier nowMillis;
    private final LinkLiveness liveness;
    private final Queue<byte[]> waiting = new ArrayDeque<>();
    private final LinkMessages.Hello hello;
    private long waitingBytes;
    private State state = State.DIALLING;
    private Connection<?> connection;

    OutboundLink(
            LinkContext context,
            VmAddress to,
            LongSupplier nowMillis,
            Consumer<OutboundLink> onOpen,
            BiConsumer<OutboundLink, PeerFailure> onFailure) {
        this.context = context;
        this.to = to;
        this.nowMillis = nowMillis;
        this.liveness = new LinkLiveness(nowMillis.getAsLong());
        this.onOpen = onOpen;
        this.onFailure = onFailure;
        this.hello = new LinkMessages.Hello(
                context.self(), to, context.authenticator().nonce());
    }

    VmAddress to() {
        return to;
    }

    /** The connection is made; the handshake begins. */
    synchronized void connected(Connection<?> made) {
        if (state != State.DIALLING) {
            made.closeSilently();
            return;
        }
        connection = made;
        FrameFilter.attach(made, this);
        state = State.AWAITING_CHALLENGE;
        context.write(made, hello);
    }

    void send(byte[] frame) {
        if (!enqueue(frame)) {
            fail(new PeerFailure.SendQueueFull(to, context.limits().maxPendingBytes()));
        }
    }

    /** Whether the other VM has not answered a ping on the link for a while. */
    boolean isSilent() {
        return liveness.isSilent(nowMillis.getAsLong());
    }

    /** Ends the link unless it has opened by now. */
    void expire() {
        if (!isOpen()) {
            fail(new PeerFailure.DialFailed(to, "no handshake in time"));
        }
    }

    @Override
    public int maxFrameBytes() {
        return LinkContext.MAX_HANDSHAKE_BYTES;
    }

    @Override
    public boolean frameReceived(byte[] frame) {
        return context.decode(frame)
                .fold(
                        failure -> {
                            fail(failure);
                            return false;
                        },
                        this::messageReceived);
    }

    @Override
    public void fail(PeerFailure failure) {
        if (closeOnce()) {
            onFailure.accept(this, failure);
        }
    }

    /** Returns the frames that were not sent because the link did not open. */
    synchronized List<byte[]> unsentFrames() {
        return List.copyOf(waiting);
    }

    /** Closes the link without a report. */
    void close() {
        closeOnce();
    }

    private synchronized boolean isOpen() {
        return state == State.OPEN;
    }

    private synchronized boolean enqueue(byte[] frame) {
        if (state == State.CLOSED) {
            context.metrics().dropped();
            return true;
        }
        if (state == State.OPEN) {
            return writeIfRoom(frame);
        }
        waitingBytes += frame.length;
        waiting.add(frame);
        return waitingBytes <= context.limits().maxPendingBytes();
    }

    private boolean writeIfRoom(byte[] frame) {
        if (!connection.canWrite()) {
            return false;
        }
        context.write(connection, frame);
        if (liveness.startPing(nowMillis.getAsLong())) {
            context.write(connection, new LinkMessages.Ping());
        }
        return true;
    }

    private boolean messageReceived(PeerMessage message) {
        if (message instanceof LinkMessages.Challenge challenge) {
            return challenged(challenge);
        }
        if (message instanceof LinkMessages.Welcome) {
            return welcomed();
        }
        if (message instanceof LinkMessages.Pong) {
            liveness.pingAnswered();
            return true;
        }
        if (message instanceof LinkMessages.Superseded superseded) {
            fail(superseded(superseded));
            return false;
        }
        if (message instanceof LinkMessages.Refused refused) {
            fail(refusal(refused.reason()));
            return false;
        }
        fail(new PeerFailure.MalformedFrame("unexpected " + message.getClass().getSimpleName()));
        return false;
    }

    private boolean challenged(LinkMessages.Challenge challenge) {
        if (!moveOn(State.AWAITING_CHALLENGE, State.AWAITING_WELCOME)) {
            return false;
        }
        LinkAuthenticator authenticator = context.authenticator();
        if (!authenticator.verify(LinkAuthenticator.Role.ACCEPTOR, hello, challenge.nonce(), challenge.proof())) {
            fail(new PeerFailure.StrangerRefused(
                    "VM " + to.vm() + " at " + to.host() + ":" + to.port() + " does not have the fleet secret"));
            return false;
        }
        byte[] proof = authenticator.proof(LinkAuthenticator.Role.DIALLER, hello, challenge.nonce());
        context.write(connection, new LinkMessages.Proof(proof));
        return true;
    }

    private boolean welcomed() {
        if (!moveOn(State.AWAITING_WELCOME, State.OPEN)) {
            return false;
        }
        onOpen.accept(this);
        return true;
    }

    private synchronized boolean moveOn(State expected, State next) {
        if (state != expected) {
            return rejectOutOfOrder();
        }
        state = next;
        if (next == State.OPEN) {
            waiting.forEach(f -> context.write(connection, f));
            waiting.clear();
        }
        return true;
    }

    private boolean rejectOutOfOrder() {
        if (state != State.CLOSED) {
            fail(new PeerFailure.MalformedFrame("a message of the handshake came out of order"));
        }
        return false;
    }

    private PeerFailure superseded(LinkMessages.Superseded answer) {
        VmAddress newer =
                new VmAddress(to.vm(), answer.incarnation(), to.dataCentre(), to.cell(), to.host(), to.port());
        LinkMessages.Hello toNewer = new LinkMessages.Hello(hello.from(), newer, hello.nonce());
        boolean proved = answer.incarnation() > to.incarnation()
                && context.authenticator()
                        .verify(LinkAuthenticator.Role.ACCEPTOR, toNewer, answer.nonce(), answer.proof());
        return proved
                ? new PeerFailure.Superseded(newer)
                : new PeerFailure.OtherIncarnation(
                        "VM " + to.vm() + " with incarnation " + to.incarnation() + " does not accept this link");
    }

    private PeerFailure refusal(LinkMessages.Reason reason) {
        return switch (reason) {
            case OTHER_INCARNATION ->
                new PeerFailure.OtherIncarnation(
                        "VM " + to.vm() + " with incarnation " + to.incarnation() + " does not accept this link");
            case WRONG_PROOF -> new PeerFailure.StrangerRefused("VM " + to.vm() + " refused this VM's proof");
            case PROTOCOL_ERROR -> new PeerFailure.DialFailed(to, "VM refused the handshake");
        };
    }

    private synchronized boolean closeOnce() {
        if (state == State.CLOSED) {
            return false;
        }
        state = State.CLOSED;
        if (connection != null) {
            connection.closeSilently();
        }
        return true;
    }

    private enum State {
        DIALLING,
        AWAITING_CHALLENGE,
        AWAITING_WELCOME,
        OPEN,
        CLOSED
    }
}
