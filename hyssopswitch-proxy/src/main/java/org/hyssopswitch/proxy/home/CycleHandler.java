package org.hyssopswitch.proxy.home;

import java.util.List;
import org.hyssopswitch.wire.Frame;

/** Takes the answer to the cycle that an endpoint connection runs. */
interface CycleHandler {

    /**
     * Frames arrived.
     *
     * @param frames the frames, in order
     */
    void framesReceived(List<Frame> frames);

    /** The connection broke before the answer was complete. */
    void connectionLost();
}
