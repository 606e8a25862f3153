package org.hyssopswitch.bench.slope;

import java.util.List;

/** A group of quantities that are measured together. */
@FunctionalInterface
public interface Measurement {

    /** Measures and returns the slopes. */
    List<Slope> measure();
}
