package org.hyssopswitch.proxy.entry;

import org.hyssopswitch.proxy.forward.AnswerEnd;

/** Takes the answers of a stream. */
interface StreamListener {

    /**
     * A part of an answer arrived.
     *
     * @param frames whole frames, encoded
     */
    void answerData(byte[] frames);

    /**
     * The answer ended.
     *
     * @param end how it ended
     */
    void answerEnded(AnswerEnd end);

    /** The home or the link to it is gone; a cycle that was sent may have run. */
    void homeLost();
}
