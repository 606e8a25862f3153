package org.hyssopswitch.pool.testing;

import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.pool.session.CallerLink;
import org.hyssopswitch.pool.session.CallerSession;
import org.hyssopswitch.pool.session.Sessions;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.PreparedShape;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.StatementOutcome;

/** A caller that records the replies and refusals it receives. */
public final class FakeCaller implements CallerLink {

    private final List<Reply> replies = new ArrayList<>();
    private final List<ErrorCode> refusals = new ArrayList<>();
    private final CallerSession session;
    private boolean sessionOpen;
    private boolean closed;

    /** Opens a session at a VM. */
    public FakeCaller(Sessions sessions, String database, String key) {
        session = sessions.accept(this);
        session.start(database, key);
    }

    /** Sends a statement. */
    public void send(String id, CallerStatement statement) {
        session.statementReceived(id, statement);
    }

    /** Sends a read. */
    public void read(String id) {
        send(id, new CallerStatement.Read("READ a"));
    }

    /** Sends a write. */
    public void write(String id) {
        send(id, new CallerStatement.Write("WRITE a x"));
    }

    /** Prepares and executes a read. */
    public void prepareAndExecute(String id) {
        send(id + "p", new CallerStatement.Prepare("s1", new PreparedShape(false, "q")));
        send(id, new CallerStatement.Execute("s1", "a"));
    }

    /** Returns all replies. */
    public List<Reply> replies() {
        return List.copyOf(replies);
    }

    /** Returns the latest reply. */
    public Reply lastReply() {
        return replies.get(replies.size() - 1);
    }

    /** Returns the error code of the latest reply. */
    public ErrorCode lastError() {
        return ((StatementOutcome.Failed) lastReply().outcome()).code();
    }

    /** Returns the codes with which the session was refused. */
    public List<ErrorCode> refusals() {
        return List.copyOf(refusals);
    }

    /** Whether the session was opened. */
    public boolean isSessionOpen() {
        return sessionOpen;
    }

    /** Whether the VM closed the connection. */
    public boolean isClosed() {
        return closed;
    }

    /** Breaks the connection. */
    public void disconnect() {
        session.disconnected();
    }

    @Override
    public void acceptSession() {
        sessionOpen = true;
    }

    @Override
    public void reply(Reply reply) {
        replies.add(reply);
    }

    @Override
    public void refuseSession(ErrorCode code, String text) {
        refusals.add(code);
    }

    @Override
    public void close() {
        closed = true;
    }
}
