package org.hyssopswitch.proxy.entry;

import java.security.SecureRandom;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.proxy.net.DecisionLoop;

/**
 * What all sessions of an entry share.
 *
 * @param loop the decision thread
 * @param options bounds for callers
 * @param collaborators what the entry needs of the rest of its VM
 * @param forwarder streams to homes
 * @param metrics counters
 * @param confirmed positions confirmed of late, by database
 * @param floors floors of sessions without a token
 * @param secrets source of secrets and nonces
 */
record EntryContext(
        DecisionLoop loop,
        EntryOptions options,
        EntryCollaborators collaborators,
        Forwarder forwarder,
        EntryMetrics metrics,
        ConfirmedPositions confirmed,
        FloorRequests floors,
        SecureRandom secrets) {

    Configuration configuration() {
        return collaborators.configuration().get();
    }

    long nowMillis() {
        return loop.nowMillis();
    }
}
