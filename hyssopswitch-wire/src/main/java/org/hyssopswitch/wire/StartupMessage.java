package org.hyssopswitch.wire;

import io.vavr.control.Either;
import java.nio.BufferUnderflowException;
import java.util.LinkedHashMap;
import java.util.Map;

/** An untyped frame that opens a connection. */
public sealed interface StartupMessage {

    /** Code of protocol version 3.0. */
    int VERSION_3_0 = 196_608;

    /** Code of a request to cancel. */
    int CANCEL_CODE = 80_877_102;

    /** Code of a request for TLS. */
    int TLS_CODE = 80_877_103;

    /** Code of a request for GSSAPI encryption. */
    int GSS_CODE = 80_877_104;

    /**
     * Opens a session.
     *
     * @param parameters the parameters by name
     */
    record Session(Map<String, String> parameters) implements StartupMessage {

        /** Copies the map. */
        public Session {
            parameters = Map.copyOf(parameters);
        }
    }

    /** Asks for TLS. */
    record TlsRequest() implements StartupMessage {}

    /** Asks for GSSAPI encryption. */
    record GssRequest() implements StartupMessage {}

    /**
     * Asks to cancel the running statement of another connection.
     *
     * @param process process number given to that connection
     * @param secret secret given to that connection
     */
    record CancelRequest(int process, int secret) implements StartupMessage {}

    /**
     * Reads an untyped frame.
     *
     * @param frame the frame
     */
    static Either<WireFailure, StartupMessage> parse(Frame frame) {
        try {
            return parse(new BodyReader(frame.body()));
        } catch (BufferUnderflowException e) {
            return Either.left(new WireFailure.BadBody(frame.type(), "the startup frame ends too early"));
        }
    }

    private static Either<WireFailure, StartupMessage> parse(BodyReader body) {
        int code = body.readInt();
        return switch (code) {
            case VERSION_3_0 -> Either.right(new Session(parameters(body)));
            case TLS_CODE -> Either.right(new TlsRequest());
            case GSS_CODE -> Either.right(new GssRequest());
            case CANCEL_CODE -> Either.right(new CancelRequest(body.readInt(), body.readInt()));
            default -> Either.left(new WireFailure.BadVersion(code));
        };
    }

    private static Map<String, String> parameters(BodyReader body) {
        Map<String, String> parameters = new LinkedHashMap<>();
        String name = body.readString();
        while (!name.isEmpty()) {
            parameters.put(name, body.readString());
            name = body.readString();
        }
        return parameters;
    }
}
