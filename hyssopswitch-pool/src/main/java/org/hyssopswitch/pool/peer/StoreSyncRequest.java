package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks a store relay for changes in the store that the sender does not know yet.
 *
 * @param catalogVersion version of the configuration in force
 * @param endpointsDigest digest of the list of endpoints
 */
public record StoreSyncRequest(long catalogVersion, long endpointsDigest) implements PeerMessage {}
