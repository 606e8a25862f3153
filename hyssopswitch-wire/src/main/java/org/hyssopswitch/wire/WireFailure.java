package org.hyssopswitch.wire;

/** Why bytes could not be read as frames; the connection they came on must be closed. */
public sealed interface WireFailure {

    /** Says what was received. */
    String describe();

    /**
     * A length field is below its minimum or above the bound.
     *
     * @param type type of the frame
     * @param length the length as received
     * @param bound greatest length that is accepted
     */
    record BadLength(byte type, int length, int bound) implements WireFailure {
        @Override
        public String describe() {
            return "frame of type " + type + " has length " + length + "; must be between 4 and " + bound;
        }
    }

    /**
     * A frame body ends too early or holds an impossible value.
     *
     * @param type type of the frame
     * @param detail what is wrong
     */
    record BadBody(byte type, String detail) implements WireFailure {
        @Override
        public String describe() {
            return "frame of type " + type + ": " + detail;
        }
    }

    /**
     * The protocol version is not supported.
     *
     * @param version the version code as received
     */
    record BadVersion(int version) implements WireFailure {
        @Override
        public String describe() {
            return "protocol version " + (version >>> 16) + "." + (version & 0xffff) + " is not supported";
        }
    }
}
