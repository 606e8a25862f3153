package org.hyssopswitch.core.session;

import java.util.List;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks the home of endpoints for hints about them; it lapses unless it is renewed.
 *
 * @param endpoints the endpoints
 */
public record HintSubscription(List<EndpointId> endpoints) implements PeerMessage {

    /** Copies the list. */
    public HintSubscription {
        endpoints = List.copyOf(endpoints);
    }
}
