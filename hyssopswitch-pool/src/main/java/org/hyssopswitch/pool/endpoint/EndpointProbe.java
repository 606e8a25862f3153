package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.List;
import java.util.function.Consumer;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/** Queries the replication status of a process that may no longer be listed, over a connection of its own. */
public final class EndpointProbe implements EndpointLink.Listener {

    private final StatusDecoder decoder;
    private final Consumer<ProbeResult> callback;
    private Option<EndpointLink> link = Option.none();
    private boolean completed;

    private EndpointProbe(StatusDecoder decoder, Consumer<ProbeResult> callback) {
        this.decoder = decoder;
        this.callback = callback;
    }

    /** Starts a query; the callback receives one result. */
    static EndpointProbe start(Endpoint endpoint, GroupContext context, Consumer<ProbeResult> callback) {
        EndpointProbe probe = new EndpointProbe(context.decoder(), callback);
        EndpointLink opened = context.connector().open(endpoint, Account.ANONYMOUS, probe);
        if (probe.completed) {
            opened.close();
        } else {
            probe.link = Option.some(opened);
        }
        return probe;
    }

    /** Gives up waiting for an answer. */
    public void cancel() {
        complete(ProbeResult.UNKNOWN);
    }

    @Override
    public void opened(Option<LogPosition> position) {
        link.forEach(opened -> opened.send(List.of(new EndpointCommand.QueryStatus())));
    }

    @Override
    public void refused(ErrorCode code) {
        complete(code == ErrorCode.MISROUTED ? ProbeResult.ENDED : ProbeResult.UNKNOWN);
    }

    @Override
    public void replied(Reply reply) {
        Option<String> row =
                reply.succeeded() ? Option.ofOptional(reply.rows().stream().findFirst()) : Option.none();
        complete(new ProbeResult(row.flatMap(decoder::decode), false));
    }

    @Override
    public void closed() {
        complete(ProbeResult.UNKNOWN);
    }

    @Override
    public void notListening() {
        complete(ProbeResult.ENDED);
    }

    @Override
    public void leaseEnded(LeaseEndReason reason) {
        complete(ProbeResult.UNKNOWN);
    }

    private void complete(ProbeResult result) {
        if (!completed) {
            completed = true;
            link.forEach(EndpointLink::close);
            callback.accept(result);
        }
    }
}
