package org.hyssopswitch.core.session;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Hints for a subscriber.
 *
 * @param hints the hints
 */
public record EndpointHints(List<EndpointHint> hints) implements PeerMessage {

    /** Copies the list. */
    public EndpointHints {
        hints = List.copyOf(hints);
    }
}
