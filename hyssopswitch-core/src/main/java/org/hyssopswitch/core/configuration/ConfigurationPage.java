package org.hyssopswitch.core.configuration;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * A page of the subtrees that the requesting VM lacks, in ascending order of version.
 *
 * @param sequence number of the request
 * @param upToVersion version up to which this and the earlier pages cover the sender's subtrees
 * @param senderVersion version that the sender has in force; equal to {@code upToVersion} on the last page
 * @param changes the subtrees
 * @param retryAfterMillis milliseconds to wait because the sender has used up its send rate; 0 otherwise
 */
public record ConfigurationPage(
        long sequence, long upToVersion, long senderVersion, List<SubtreeChange> changes, long retryAfterMillis)
        implements PeerMessage {

    /** Makes an immutable copy of the list. */
    public ConfigurationPage {
        changes = List.copyOf(changes);
    }

    /** Whether this is the last page. */
    public boolean isLast() {
        return upToVersion >= senderVersion;
    }
}
