package org.hyssopswitch.pool.peer;

import io.vavr.control.Option;
import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;

/**
 * A store relay answers a {@link StoreSyncRequest} with what the requester lacks.
 *
 * @param current whether the relay is in contact with the store
 * @param catalog the configuration, if it is newer than the requester's
 * @param endpointsPosition store position of the list of endpoints
 * @param endpoints all endpoints, if the list differs from the requester's
 */
public record StoreSyncResponse(
        boolean current, Option<Catalog> catalog, StorePosition endpointsPosition, Option<List<Endpoint>> endpoints)
        implements PeerMessage {}
