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

/** Sends one command to a process that may no longer be listed, over a connection of its own, and reads its status. */
public final class EndpointProbe implements EndpointLink.Listener {

    private final StatusDecoder decoder;
    private final EndpointCommand command;
    private final Consumer<ProbeResult> callback;
    private Option<EndpointLink> link = Option.none();
    private boolean completed;

    private EndpointProbe(StatusDecoder decoder, EndpointCommand command, Consumer<ProbeResult> callback) {
        this.decoder = decoder;
        this.command = command;
        this.callback = callback;
    }

    /** Connects and sends a command that reports the status; the callback receives one result. */
    static EndpointProbe start(
            Endpoint endpoint, EndpointCommand command, GroupContext context, Consumer<ProbeResult> callback) {
        EndpointProbe probe = new EndpointProbe(context.decoder(), command, callback);
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
        link.forEach(opened -> opened.send(List.of(command)));
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
