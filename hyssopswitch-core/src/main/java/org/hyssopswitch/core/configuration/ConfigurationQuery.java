package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Announces the version that the sender has in force and asks for the receiver's.
 *
 * @param sequence number that the answering announcement repeats
 * @param version version that the sender has in force
 */
public record ConfigurationQuery(long sequence, long version) implements PeerMessage {}
