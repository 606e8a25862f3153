package org.hyssopswitch.peer;

import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/** The messages that open a link (hello, challenge, proof, welcome) and that check an open one (ping, pong). */
final class LinkMessages {

    private LinkMessages() {}

    /** The first message of the VM that dials: who it is, whom it wants and its nonce. */
    record Hello(VmAddress from, VmAddress to, byte[] nonce) implements PeerMessage {}

    /** The answer of the VM that was dialled: its nonce and its proof. */
    record Challenge(byte[] nonce, byte[] proof) implements PeerMessage {}

    /** The proof of the VM that dials. */
    record Proof(byte[] proof) implements PeerMessage {}

    /** The link is open. */
    record Welcome() implements PeerMessage {}

    /** Asks the VM that was dialled for a pong. */
    record Ping() implements PeerMessage {}

    /** The answer to a ping. */
    record Pong() implements PeerMessage {}

    /**
     * The answer of a VM that was dialled as an earlier incarnation: its own incarnation, its nonce and its proof for a
     * hello to that incarnation.
     */
    record Superseded(long incarnation, byte[] nonce, byte[] proof) implements PeerMessage {}

    /** The link is refused. */
    record Refused(Reason reason) implements PeerMessage {}

    /** Why a link is refused. */
    enum Reason {
        OTHER_INCARNATION,
        WRONG_PROOF,
        PROTOCOL_ERROR
    }
}
