package org.hyssopswitch.peer;

import java.util.function.BiConsumer;
import org.glassfish.grizzly.Connection;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/** A link that another VM dialled; messages are taken from it only after its proof. */
final class InboundLink implements LinkEnd {

    private final LinkContext context;
    private final Connection<?> connection;
    private final InboundLinks owner;
    private final BiConsumer<VmAddress, PeerMessage> receiver;
    private LinkMessages.Hello hello;
    private byte[] nonce;
    private State state = State.AWAITING_HELLO;

    InboundLink(
            LinkContext context,
            Connection<?> connection,
            InboundLinks owner,
            BiConsumer<VmAddress, PeerMessage> receiver) {
        this.context = context;
        this.connection = connection;
        this.owner = owner;
        this.receiver = receiver;
    }

    /** The authenticated VM at the other end. */
    VmAddress from() {
        return hello.from();
    }

    /** Ends the link unless it has opened by now. */
    void expire() {
        if (!isOpen()) {
            fail(new PeerFailure.StrangerRefused("no handshake in time"));
        }
    }

    @Override
    public synchronized int maxFrameBytes() {
        return state == State.OPEN ? context.limits().maxFrameBytes() : LinkContext.MAX_HANDSHAKE_BYTES;
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
        State previous = closeOnce();
        if (previous != State.CLOSED) {
            owner.closed(this, previous == State.OPEN, failure, String.valueOf(connection.getPeerAddress()));
        }
    }

    synchronized boolean isOpen() {
        return state == State.OPEN;
    }

    /** Opens the link after the proof; false when it has ended meanwhile. */
    synchronized boolean open() {
        if (state != State.AWAITING_PROOF) {
            return false;
        }
        state = State.OPEN;
        return true;
    }

    private boolean messageReceived(PeerMessage message) {
        if (isOpen()) {
            return deliver(message);
        }
        if (message instanceof LinkMessages.Hello received) {
            return greeted(received);
        }
        if (message instanceof LinkMessages.Proof received) {
            return proved(received);
        }
        return refuse(
                LinkMessages.Reason.PROTOCOL_ERROR,
                new PeerFailure.StrangerRefused(
                        message.getClass().getSimpleName() + " before the handshake was complete"));
    }

    private boolean deliver(PeerMessage message) {
        if (message instanceof LinkMessages.Ping) {
            context.write(connection, new LinkMessages.Pong());
            return true;
        }
        if (message.getClass().getEnclosingClass() == LinkMessages.class) {
            fail(new PeerFailure.MalformedFrame("a message of the handshake came on an open link"));
            return false;
        }
        receiver.accept(from(), message);
        return true;
    }

    private boolean greeted(LinkMessages.Hello received) {
        if (!begin(received)) {
            return refuse(
                    LinkMessages.Reason.PROTOCOL_ERROR, new PeerFailure.StrangerRefused("hello is not as expected"));
        }
        VmAddress self = context.self();
        if (received.to().vm().equals(self.vm()) && received.to().incarnation() < self.incarnation()) {
            return supersede(received, self);
        }
        if (!received.to().vm().equals(self.vm()) || received.to().incarnation() != self.incarnation()) {
            return refuse(
                    LinkMessages.Reason.OTHER_INCARNATION,
                    new PeerFailure.OtherIncarnation(
                            "VM " + received.from().vm() + " wants " + received.to() + ", but this is " + self));
        }
        LinkAuthenticator authenticator = context.authenticator();
        byte[] proof = authenticator.proof(LinkAuthenticator.Role.ACCEPTOR, received, nonce);
        context.write(connection, new LinkMessages.Challenge(nonce, proof));
        return true;
    }

    /** Tells a VM that dialled an earlier incarnation which one this is, with a proof, and ends the link. */
    private boolean supersede(LinkMessages.Hello received, VmAddress self) {
        LinkMessages.Hello toSelf = new LinkMessages.Hello(received.from(), self, received.nonce());
        byte[] proof = context.authenticator().proof(LinkAuthenticator.Role.ACCEPTOR, toSelf, nonce);
        context.metrics().refused();
        context.write(connection, new LinkMessages.Superseded(self.incarnation(), nonce, proof));
        fail(new PeerFailure.Superseded(self));
        return false;
    }

    private boolean proved(LinkMessages.Proof received) {
        if (!verify(received)) {
            return refuse(LinkMessages.Reason.WRONG_PROOF, new PeerFailure.StrangerRefused("the proof is wrong"));
        }
        if (!owner.admit(this)) {
            return refuse(
                    LinkMessages.Reason.OTHER_INCARNATION,
                    new PeerFailure.OtherIncarnation("a newer incarnation of VM " + from().vm() + " is connected"));
        }
        context.write(connection, new LinkMessages.Welcome());
        return true;
    }

    private synchronized boolean begin(LinkMessages.Hello received) {
        if (state != State.AWAITING_HELLO || received.nonce().length != LinkAuthenticator.NONCE_BYTES) {
            return false;
        }
        hello = received;
        nonce = context.authenticator().nonce();
        state = State.AWAITING_PROOF;
        return true;
    }

    private synchronized boolean verify(LinkMessages.Proof received) {
        return state == State.AWAITING_PROOF
                && context.authenticator().verify(LinkAuthenticator.Role.DIALLER, hello, nonce, received.proof());
    }

    private boolean refuse(LinkMessages.Reason reason, PeerFailure failure) {
        context.metrics().refused();
        context.write(connection, new LinkMessages.Refused(reason));
        fail(failure);
        return false;
    }

    private synchronized State closeOnce() {
        State previous = state;
        state = State.CLOSED;
        if (previous != State.CLOSED) {
            connection.closeSilently();
        }
        return previous;
    }

    private enum State {
        AWAITING_HELLO,
        AWAITING_PROOF,
        OPEN,
        CLOSED
    }
}
