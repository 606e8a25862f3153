package org.hyssopswitch.core.engine;

import java.util.function.LongSupplier;

/**
 * Generates the identifiers of calls to the platform and to endpoints. All systems of a VM share one instance, so that
 * an identifier is unique within the VM.
 */
public final class CallIdSequence implements LongSupplier {

    private long last;

    /** Creates a sequence that starts at 1. */
    public CallIdSequence() {}

    @Override
    public long getAsLong() {
        return ++last;
    }
}
