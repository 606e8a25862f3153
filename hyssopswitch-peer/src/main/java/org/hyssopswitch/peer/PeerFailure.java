package org.hyssopswitch.peer;

import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.VmAddress;

/** Why a frame or a link between VMs failed. */
public sealed interface PeerFailure extends Failure {

    /**
     * A frame is longer than permitted.
     *
     * @param bytes length of the frame
     * @param maxBytes greatest length
     */
    record FrameTooLarge(long bytes, int maxBytes) implements PeerFailure {
        @Override
        public String describe() {
            return "a frame has " + bytes + " bytes, but at most " + maxBytes + " are permitted";
        }
    }

    /**
     * A frame was written by another version of the protocol.
     *
     * @param version version of the frame
     */
    record OtherVersion(int version) implements PeerFailure {
        @Override
        public String describe() {
            return "the frame has protocol version " + version + ", but this VM speaks " + MessageCodec.VERSION;
        }
    }

    /**
     * A message number is not registered.
     *
     * @param number the number
     */
    record UnknownMessage(int number) implements PeerFailure {
        @Override
        public String describe() {
            return "message number " + number + " is not registered";
        }
    }

    /**
     * The content of a frame cannot be read.
     *
     * @param detail what is wrong
     */
    record MalformedFrame(String detail) implements PeerFailure {
        @Override
        public String describe() {
            return "malformed frame: " + detail;
        }
    }

    /**
     * The other side did not prove that it has the fleet secret, or sent messages before it had.
     *
     * @param detail what it did
     */
    record StrangerRefused(String detail) implements PeerFailure {
        @Override
        public String describe() {
            return "stranger refused: " + detail;
        }
    }

    /**
     * The VM at the address has another identity or incarnation than the one addressed, or a newer incarnation of the
     * sender is connected.
     *
     * @param detail which were expected and found
     */
    record OtherIncarnation(String detail) implements PeerFailure {
        @Override
        public String describe() {
            return "other incarnation: " + detail;
        }
    }

    /**
     * The VM at the address has proved that it is a later incarnation of the VM addressed.
     *
     * @param newer its address
     */
    record Superseded(VmAddress newer) implements PeerFailure {
        @Override
        public String describe() {
            return "VM " + newer.vm() + " has started again with incarnation " + newer.incarnation();
        }
    }

    /**
     * A link could not be opened.
     *
     * @param to the VM
     * @param reason what failed
     */
    record DialFailed(VmAddress to, String reason) implements PeerFailure {
        @Override
        public String describe() {
            return "no link to VM " + to.vm() + " at " + to.host() + ":" + to.port() + ": " + reason;
        }
    }

    /**
     * The VM reads slower than this one sends.
     *
     * @param to the VM
     * @param maxBytes bytes that may wait
     */
    record SendQueueFull(VmAddress to, int maxBytes) implements PeerFailure {
        @Override
        public String describe() {
            return "more than " + maxBytes + " bytes wait to be sent to VM " + to.vm();
        }
    }

    /**
     * A link was closed.
     *
     * @param reason who closed it and why
     */
    record LinkClosed(String reason) implements PeerFailure {
        @Override
        public String describe() {
            return "link closed: " + reason;
        }
    }
}
