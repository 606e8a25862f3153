package org.hyssopswitch.pool.catalog;

/** Which commits the reads of a route must see. */
public enum Consistency {
    /** Every commit acknowledged before the read. */
    LATEST,
    /** Every commit that is older than the route's accepted staleness. */
    BOUNDED,
    /** As {@link #BOUNDED}, and additionally every commit of the reading session. */
    READ_YOUR_WRITES
}
