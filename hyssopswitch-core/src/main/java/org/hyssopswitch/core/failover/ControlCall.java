package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Requests that the home of an endpoint make a control call to it.
 *
 * @param id number that the response repeats
 * @param endpoint the endpoint
 * @param kind the kind of call
 * @param term term of the call; 0 if the kind has none
 * @param offset offset of the call; 0 if the kind has none
 * @param argument promotion coordinator or primary of the call; empty if the kind has none
 * @param timeoutMillis milliseconds after which the call fails
 */
public record ControlCall(
        long id, EndpointId endpoint, ControlKind kind, long term, long offset, String argument, long timeoutMillis)
        implements PeerMessage {

    /** Creates the message that carries a request. */
    static ControlCall of(long id, EndpointId endpoint, ControlRequest request, long timeoutMillis) {
        if (request instanceof ControlRequest.Fence fence) {
            return new ControlCall(
                    id, endpoint, ControlKind.FENCE, fence.term(), 0, fence.coordinator(), timeoutMillis);
        }
        if (request instanceof ControlRequest.Promote promote) {
            String coordinator = promote.coordinator();
            return new ControlCall(id, endpoint, ControlKind.PROMOTE, promote.term(), 0, coordinator, timeoutMillis);
        }
        if (request instanceof ControlRequest.Follow follow) {
            String primary = follow.primary().value();
            return new ControlCall(id, endpoint, ControlKind.FOLLOW, follow.term(), 0, primary, timeoutMillis);
        }
        if (request instanceof ControlRequest.AwaitPosition await) {
            return new ControlCall(id, endpoint, ControlKind.AWAIT, await.term(), await.offset(), "", timeoutMillis);
        }
        return new ControlCall(id, endpoint, ControlKind.STATUS, 0, 0, "", timeoutMillis);
    }

    /** Returns the request that the message carries. */
    ControlRequest request() {
        return kind.request(term, offset, argument);
    }
}
