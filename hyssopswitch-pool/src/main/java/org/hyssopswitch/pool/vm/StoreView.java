package org.hyssopswitch.pool.vm;

import java.util.Collection;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;

/** What a VM knows of the content of the store, whether from its own watches or from a relay. */
interface StoreView {

    /** Returns the configuration in force. */
    Catalog catalog();

    /** Returns the listed endpoints. */
    Collection<Endpoint> endpoints();

    /** Returns the store position of the list of endpoints, or none before the first list. */
    StorePosition endpointsPosition();

    /** Returns whether the store answered the latest calls of this VM. */
    boolean isCurrent();

    /** Applies a configuration; one that is older than that in force is ignored. */
    void applyCatalog(Catalog next);

    /** Applies the list of all endpoints at a store position; a list that is older than the current one is ignored. */
    void applyEndpoints(StorePosition position, Collection<Endpoint> all);

    /** Starts or stops watching the store directly. */
    void setWatching(boolean watching);
}
