package org.hyssopswitch.pool.peer;

import io.vavr.control.Option;
import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;

/**
 * A relay tells what it has read in the store.
 *
 * @param current whether the relay is in touch with the store
 * @param catalog the configuration, if it is newer than the asker's
 * @param endpointsRevision store revision of the list of endpoints
 * @param endpoints all endpoints, if the list differs from the asker's
 */
public record StoreSyncResponse(
        boolean current, Option<Catalog> catalog, long endpointsRevision, Option<List<Endpoint>> endpoints)
        implements PeerMessage {}
