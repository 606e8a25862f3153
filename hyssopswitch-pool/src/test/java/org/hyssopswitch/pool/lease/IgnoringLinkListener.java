package org.hyssopswitch.pool.lease;

import io.vavr.control.Option;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.endpoint.EndpointLink;
import org.hyssopswitch.pool.endpoint.LeaseEndReason;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/** Ignores the events of a connection. */
final class IgnoringLinkListener implements EndpointLink.Listener {

    @Override
    public void opened(Option<LogPosition> position) {}

    @Override
    public void refused(ErrorCode code) {}

    @Override
    public void replied(Reply reply) {}

    @Override
    public void closed() {}

    @Override
    public void leaseEnded(LeaseEndReason reason) {}
}
