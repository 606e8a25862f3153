package org.hyssopswitch.pool.vm;

import java.util.Collection;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;

/** What a VM knows of the store's content, however it learnt it. */
interface StoreView {

    /** The configuration in force. */
    Catalog catalog();

    /** The listed endpoints. */
    Collection<Endpoint> endpoints();

    /** Store revision of the list of endpoints; -1 before the first list. */
    long endpointsRevision();

    /** Whether the store answered this VM's latest calls. */
    boolean isCurrent();

    /** Takes a configuration; an older one than that in force is ignored. */
    void applyCatalog(Catalog next);

    /** Takes all endpoints of a store revision; an older list than the present one is ignored. */
    void applyEndpoints(long revision, Collection<Endpoint> all);

    /** Begins or ceases to watch the store itself. */
    void setWatching(boolean watching);
}
