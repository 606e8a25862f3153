package org.hyssopswitch.core.session;

import java.util.List;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Message that subscribes the sender to hints about endpoints at their home. The subscription expires unless it is
 * renewed.
 *
 * @param endpoints endpoints whose home is the recipient
 */
public record HintSubscription(List<EndpointId> endpoints) implements PeerMessage {

    /** Copies the list. */
    public HintSubscription {
        endpoints = List.copyOf(endpoints);
    }
}
