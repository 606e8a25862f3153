package org.hyssopswitch.core.engine;

import java.util.function.LongSupplier;

/** Numbers calls to the platform and to endpoints; one instance is shared by all systems of a VM. */
public final class CallIdSequence implements LongSupplier {

    private long last;

    /** Creates a sequence that starts at 1. */
    public CallIdSequence() {}

    @Override
    public long getAsLong() {
        return ++last;
    }
}
