package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Announces the version that the sender has in force.
 *
 * @param sequence number of the query that is answered; 0 for an unsolicited announcement
 * @param version version that the sender has in force
 * @param ageMillis milliseconds since the version was last confirmed to be the latest; negative if it never was
 */
public record ConfigurationAnnouncement(long sequence, long version, long ageMillis) implements PeerMessage {}
