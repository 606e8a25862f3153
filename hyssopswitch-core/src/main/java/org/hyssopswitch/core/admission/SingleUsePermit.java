package org.hyssopswitch.core.admission;

import java.util.function.LongConsumer;

/** A permit whose token is given back once, however often that is asked for. */
public final class SingleUsePermit implements AdmissionPermit {

    private final LongConsumer action;
    private boolean givenBack;

    /**
     * Creates a permit.
     *
     * @param action gives the token back; receives milliseconds of the monotonic clock
     */
    public SingleUsePermit(LongConsumer action) {
        this.action = action;
    }

    @Override
    public void giveBack(long nowMillis) {
        if (!givenBack) {
            givenBack = true;
            action.accept(nowMillis);
        }
    }
}
