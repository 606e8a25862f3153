package org.hyssopswitch.proxy.net;

import java.util.List;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.WireFailure;

/** Takes what happens on a connection; called on the decision thread. */
public interface FrameListener {

    /**
     * Frames arrived. Nothing further is read until this call has returned.
     *
     * @param frames the frames, in order
     */
    void framesReceived(List<Frame> frames);

    /**
     * Bytes arrived that are no frames; nothing further is read.
     *
     * @param failure what was received
     */
    void badInput(WireFailure failure);

    /** The connection is closed; nothing follows. */
    void closed();
}
