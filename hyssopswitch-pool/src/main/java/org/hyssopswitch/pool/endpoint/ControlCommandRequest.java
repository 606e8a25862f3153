package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.function.Consumer;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/** A command that the VM itself sends to one endpoint; it has a higher priority than all statements. */
final class ControlCommandRequest implements ConnectionRequest, ReplyHandler {

    private static final int HIGHEST_PRIORITY = -1;

    private final String endpointId;
    private final EndpointCommand command;
    private final Account account;
    private final long assignmentDeadlineMillis;
    private final Consumer<Option<Reply>> callback;
    private Option<PooledConnection> connection = Option.none();
    private boolean completed;

    ControlCommandRequest(
            String endpointId,
            EndpointCommand command,
            Account account,
            long assignmentDeadlineMillis,
            Consumer<Option<Reply>> callback) {
        this.endpointId = endpointId;
        this.command = command;
        this.account = account;
        this.assignmentDeadlineMillis = assignmentDeadlineMillis;
        this.callback = callback;
    }

    @Override
    public Account account() {
        return account;
    }

    @Override
    public int priority() {
        return HIGHEST_PRIORITY;
    }

    @Override
    public boolean primaryOnly() {
        return false;
    }

    @Override
    public Option<String> pinnedTo() {
        return Option.some(endpointId);
    }

    @Override
    public boolean acceptsAnyAccount() {
        return true;
    }

    @Override
    public long stalenessMillis() {
        return 0;
    }

    @Override
    public LogPosition sessionFloor() {
        return LogPosition.ZERO;
    }

    @Override
    public long assignmentDeadlineMillis() {
        return assignmentDeadlineMillis;
    }

    @Override
    public long unavailableWaitMillis() {
        return 0;
    }

    @Override
    public boolean excludes(String endpointId) {
        return false;
    }

    @Override
    public void assigned(PooledConnection assignedConnection, Option<LogPosition> floor) {
        connection = Option.some(assignedConnection);
        assignedConnection.send(command, this);
    }

    @Override
    public void refused(ErrorCode code, String reason) {
        complete(Option.none());
    }

    @Override
    public void replied(Reply reply) {
        connection.forEach(PooledConnection::release);
        complete(Option.some(reply));
    }

    @Override
    public void connectionLost() {
        complete(Option.none());
    }

    private void complete(Option<Reply> reply) {
        if (!completed) {
            completed = true;
            callback.accept(reply);
        }
    }
}
