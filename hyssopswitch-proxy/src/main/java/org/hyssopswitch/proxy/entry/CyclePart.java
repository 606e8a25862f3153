package org.hyssopswitch.proxy.entry;

import java.util.List;
import org.hyssopswitch.wire.Frame;

/**
 * Frames of one cycle that are sent together.
 *
 * @param frames the frames
 * @param open whether the cycle goes on after them, because they end with Flush
 */
record CyclePart(List<Frame> frames, boolean open) {

    CyclePart {
        frames = List.copyOf(frames);
    }

    int bytes() {
        return frames.stream().mapToInt(Frame::encodedLength).sum();
    }

    boolean simple() {
        return frames.get(0).is('Q');
    }
}
