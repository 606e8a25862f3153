package org.hyssopswitch.proxy.home;

import java.util.List;
import org.hyssopswitch.wire.Frame;

/** Receives the answer to the cycle that an endpoint connection runs. */
interface CycleHandler {

    /**
     * Receives frames of the answer.
     *
     * @param frames the frames, in order
     */
    void framesReceived(List<Frame> frames);

    /** Called when the connection is lost before the answer is complete. */
    void connectionLost();
}
