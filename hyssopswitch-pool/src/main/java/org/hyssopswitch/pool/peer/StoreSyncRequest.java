package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * A VM asks a relay for what is newer in the store than what it knows.
 *
 * @param catalogVersion version of the configuration in force
 * @param endpointsDigest digest of the list of endpoints
 */
public record StoreSyncRequest(long catalogVersion, long endpointsDigest) implements PeerMessage {}
