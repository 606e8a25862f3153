package org.hyssopswitch.core.session;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Message in which a home sends endpoint hints to a subscriber.
 *
 * @param hints one hint per endpoint that is due
 */
public record EndpointHints(List<EndpointHint> hints) implements PeerMessage {

    /** Copies the list. */
    public EndpointHints {
        hints = List.copyOf(hints);
    }
}
