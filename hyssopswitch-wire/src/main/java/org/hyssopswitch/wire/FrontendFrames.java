package org.hyssopswitch.wire;

import java.util.Map;

/** Frames that a client sends. */
public final class FrontendFrames {

    private static final byte[] NO_BODY = new byte[0];

    private FrontendFrames() {}

    /**
     * Opens a session.
     *
     * @param parameters the startup parameters
     */
    public static Frame startup(Map<String, String> parameters) {
        BodyWriter body = new BodyWriter().writeInt(StartupMessage.VERSION_3_0);
        parameters.forEach((k, v) -> body.writeString(k).writeString(v));
        return new Frame(Frame.STARTUP, body.writeByte(0).toBytes());
    }

    /** Asks for TLS. */
    public static Frame tlsRequest() {
        return new Frame(
                Frame.STARTUP,
                new BodyWriter().writeInt(StartupMessage.TLS_CODE).toBytes());
    }

    /**
     * Asks to cancel the running statement of another connection.
     *
     * @param process process number given to that connection
     * @param secret secret given to that connection
     */
    public static Frame cancelRequest(int process, int secret) {
        BodyWriter body = new BodyWriter().writeInt(StartupMessage.CANCEL_CODE);
        return new Frame(Frame.STARTUP, body.writeInt(process).writeInt(secret).toBytes());
    }

    /**
     * Gives the password in the clear.
     *
     * @param password the password
     */
    public static Frame password(String password) {
        return new BodyWriter().writeString(password).toFrame('p');
    }

    /**
     * Runs statements by the simple protocol.
     *
     * @param sql the statements
     */
    public static Frame query(String sql) {
        return new BodyWriter().writeString(sql).toFrame('Q');
    }

    /**
     * Prepares a statement without declared parameter types.
     *
     * @param name name of the statement; empty for the unnamed one
     * @param sql the statement
     */
    public static Frame parse(String name, String sql) {
        return new BodyWriter().writeString(name).writeString(sql).writeShort(0).toFrame('P');
    }

    /**
     * Closes a prepared statement or a portal.
     *
     * @param kind {@code S} for a statement, {@code P} for a portal
     * @param name its name
     */
    public static Frame close(char kind, String name) {
        return new BodyWriter().writeByte(kind).writeString(name).toFrame('C');
    }

    /** Ends an extended-protocol cycle. */
    public static Frame sync() {
        return Frame.of('S', NO_BODY);
    }

    /** Ends the session. */
    public static Frame terminate() {
        return Frame.of('X', NO_BODY);
    }
}
