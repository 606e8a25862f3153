package org.hyssopswitch.pool.catalog;

/** What the reads of a route must see. */
public enum Consistency {
    /** Every commit acknowledged before the read. */
    LATEST,
    /** Every commit that is older than the route's accepted age. */
    BOUNDED,
    /** As {@link #BOUNDED}, and every commit of the reading session. */
    READ_YOUR_WRITES
}
