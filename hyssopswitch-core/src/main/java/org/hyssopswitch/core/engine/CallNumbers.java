package org.hyssopswitch.core.engine;

import java.util.function.LongSupplier;

/** Numbers calls to the platform and to endpoints; one instance is shared by all systems of a VM. */
public final class CallNumbers implements LongSupplier {

    private long last;

    /** Creates a sequence that starts at 1. */
    public CallNumbers() {}

    @Override
    public long getAsLong() {
        return ++last;
    }
}
