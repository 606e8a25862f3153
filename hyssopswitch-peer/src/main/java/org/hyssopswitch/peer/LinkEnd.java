package org.hyssopswitch.peer;

/** One end of a link, attached to its connection. Frames arrive on one thread at a time. */
interface LinkEnd {

    /** Greatest length of the next frame; small until the other side is authenticated. */
    int maxFrameBytes();

    /** Handles a frame; false when the link is closed and nothing more is to be read. */
    boolean frameReceived(byte[] frame);

    /** Ends the link. */
    void fail(PeerFailure failure);
}
