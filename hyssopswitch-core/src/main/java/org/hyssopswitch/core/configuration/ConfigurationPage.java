package org.hyssopswitch.core.configuration;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Some of the subtrees that a VM lacks, in ascending order of version.
 *
 * @param sequence number of the request
 * @param upToVersion version up to which the page has the sender's subtrees
 * @param senderVersion version that the sender has; equal to {@code upToVersion} on the last page
 * @param changes the subtrees
 * @param retryAfterMillis milliseconds to wait because the sender is busy; 0 otherwise
 */
public record ConfigurationPage(
        long sequence, long upToVersion, long senderVersion, List<SubtreeChange> changes, long retryAfterMillis)
        implements PeerMessage {

    /** Copies the list. */
    public ConfigurationPage {
        changes = List.copyOf(changes);
    }

    /** Whether nothing follows this page. */
    public boolean isLast() {
        return upToVersion >= senderVersion;
    }
}
