package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Tells which version the sender has.
 *
 * @param sequence number of the query; 0 when not asked for
 * @param version version that the sender has in force
 * @param ageMillis milliseconds since the version was known to be the latest; negative when it never was
 */
public record ConfigurationAnnouncement(long sequence, long version, long ageMillis) implements PeerMessage {}
