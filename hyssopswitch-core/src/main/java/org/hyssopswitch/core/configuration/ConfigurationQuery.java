package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Tells which version the sender has and asks for the receiver's.
 *
 * @param sequence number that the announcement repeats
 * @param version version that the sender has in force
 */
public record ConfigurationQuery(long sequence, long version) implements PeerMessage {}
