package org.hyssopswitch.wire;

import io.vavr.control.Either;
import java.nio.BufferUnderflowException;
import java.util.Collections;
import java.util.List;
import java.util.function.Function;
import org.hyssopswitch.wire.WireFailure.BadBody;

/** Frames that a server sends. */
public final class BackendFrames {

    /** Object identifier of the type {@code text}. */
    public static final int TEXT_OID = 25;

    /** Object identifier of the type {@code int8}. */
    public static final int INT8_OID = 20;

    private static final int AUTHENTICATION_CLEARTEXT = 3;
    private static final int AUTHENTICATION_SASL = 10;
    private static final int AUTHENTICATION_SASL_CONTINUE = 11;
    private static final int AUTHENTICATION_SASL_FINAL = 12;
    private static final byte[] NO_BODY = new byte[0];

    private BackendFrames() {}

    /** The caller is authenticated. */
    public static Frame authenticationOk() {
        return authentication(0, NO_BODY);
    }

    /** Asks for the password in the clear. */
    public static Frame authenticationCleartext() {
        return authentication(AUTHENTICATION_CLEARTEXT, NO_BODY);
    }

    /**
     * Asks for SASL authentication.
     *
     * @param mechanisms names of the mechanisms offered
     */
    public static Frame authenticationSasl(List<String> mechanisms) {
        BodyWriter names = new BodyWriter();
        mechanisms.forEach(names::writeString);
        return authentication(AUTHENTICATION_SASL, names.writeByte(0).toBytes());
    }

    /**
     * Continues SASL authentication.
     *
     * @param data data of the mechanism
     */
    public static Frame authenticationSaslContinue(byte[] data) {
        return authentication(AUTHENTICATION_SASL_CONTINUE, data);
    }

    /**
     * Ends SASL authentication.
     *
     * @param data data of the mechanism
     */
    public static Frame authenticationSaslFinal(byte[] data) {
        return authentication(AUTHENTICATION_SASL_FINAL, data);
    }

    /**
     * Reports a parameter.
     *
     * @param name the parameter
     * @param value its value
     */
    public static Frame parameterStatus(String name, String value) {
        return new BodyWriter().writeString(name).writeString(value).toFrame('S');
    }

    /**
     * Gives the numbers that a cancel request must present.
     *
     * @param process process number
     * @param secret secret
     */
    public static Frame backendKeyData(int process, int secret) {
        return new BodyWriter().writeInt(process).writeInt(secret).toFrame('K');
    }

    /**
     * Ends a cycle.
     *
     * @param status {@code I} when idle, {@code T} in a transaction, {@code E} in a failed transaction
     */
    public static Frame readyForQuery(char status) {
        return new BodyWriter().writeByte(status).toFrame('Z');
    }

    /**
     * Reports an error.
     *
     * @param severity {@code ERROR} or {@code FATAL}
     * @param sqlState five characters
     * @param message one line
     * @param detail further text; empty for none
     * @param hint advice; empty for none
     */
    public static Frame errorResponse(String severity, String sqlState, String message, String detail, String hint) {
        BodyWriter body = new BodyWriter();
        field(body, 'S', severity);
        field(body, 'V', severity);
        field(body, 'C', sqlState);
        field(body, 'M', message);
        field(body, 'D', detail);
        field(body, 'H', hint);
        return body.writeByte(0).toFrame('E');
    }

    /**
     * Describes rows whose columns are all in text format.
     *
     * @param names column names
     * @param typeOids object identifiers of the column types
     */
    public static Frame rowDescription(List<String> names, List<Integer> typeOids) {
        return rowDescription(names, typeOids, Collections.nCopies(names.size(), 0));
    }

    /**
     * Describes rows.
     *
     * @param names column names
     * @param typeOids object identifiers of the column types
     * @param formats formats of the columns: 0 for text, 1 for binary
     */
    public static Frame rowDescription(List<String> names, List<Integer> typeOids, List<Integer> formats) {
        BodyWriter body = new BodyWriter().writeShort(names.size());
        for (int i = 0; i < names.size(); i++) {
            body.writeString(names.get(i)).writeInt(0).writeShort(0);
            body.writeInt(typeOids.get(i)).writeShort(-1).writeInt(-1).writeShort(formats.get(i));
        }
        return body.toFrame('T');
    }

    /**
     * One row.
     *
     * @param columns column values; an empty Option is a null
     */
    public static Frame dataRow(List<io.vavr.control.Option<byte[]>> columns) {
        BodyWriter body = new BodyWriter().writeShort(columns.size());
        columns.forEach(c -> column(body, c));
        return body.toFrame('D');
    }

    /**
     * Ends a statement.
     *
     * @param tag the command tag
     */
    public static Frame commandComplete(String tag) {
        return new BodyWriter().writeString(tag).toFrame('C');
    }

    /**
     * A frame without a body, such as ParseComplete ({@code 1}) or NoData ({@code n}).
     *
     * @param type the type character
     */
    public static Frame empty(char type) {
        return Frame.of(type, NO_BODY);
    }

    /**
     * Describes the parameters of a prepared statement.
     *
     * @param typeOids object identifiers of the parameter types
     */
    public static Frame parameterDescription(List<Integer> typeOids) {
        BodyWriter body = new BodyWriter().writeShort(typeOids.size());
        typeOids.forEach(body::writeInt);
        return body.toFrame('t');
    }

    /**
     * Reads a ParameterStatus frame.
     *
     * @param frame the frame
     */
    public static Either<WireFailure, Parameter> parseParameterStatus(Frame frame) {
        return read(frame, body -> new Parameter(body.readString(), body.readString()));
    }

    /**
     * Reads an ErrorResponse frame.
     *
     * @param frame the frame
     */
    public static Either<WireFailure, ErrorReport> parseError(Frame frame) {
        return read(frame, BackendFrames::errorReport);
    }

    /**
     * The command tag of a CommandComplete frame.
     *
     * @param frame the frame
     */
    public static Either<WireFailure, String> parseCommandComplete(Frame frame) {
        return read(frame, BodyReader::readString);
    }

    /**
     * The request of an Authentication frame: 0 when the login has succeeded.
     *
     * @param frame the frame
     */
    public static Either<WireFailure, Integer> parseAuthentication(Frame frame) {
        return read(frame, BodyReader::readInt);
    }

    /**
     * The numbers of a BackendKeyData frame.
     *
     * @param frame the frame
     */
    public static Either<WireFailure, KeyData> parseKeyData(Frame frame) {
        return read(frame, body -> new KeyData(body.readInt(), body.readInt()));
    }

    /**
     * The transaction status of a ReadyForQuery frame.
     *
     * @param frame the frame
     */
    public static Either<WireFailure, Character> parseReady(Frame frame) {
        return read(frame, body -> (char) body.readByte());
    }

    private static <T> Either<WireFailure, T> read(Frame frame, Function<BodyReader, T> reader) {
        try {
            return Either.right(reader.apply(new BodyReader(frame.body())));
        } catch (BufferUnderflowException e) {
            return Either.left(new BadBody(frame.type(), "the body ends too early"));
        }
    }

    private static ErrorReport errorReport(BodyReader body) {
        String sqlState = "";
        String message = "";
        for (byte field = body.readByte(); field != 0; field = body.readByte()) {
            String value = body.readString();
            if (field == 'C') {
                sqlState = value;
            }
            if (field == 'M') {
                message = value;
            }
        }
        return new ErrorReport(sqlState, message);
    }

    private static Frame authentication(int code, byte[] data) {
        return new BodyWriter().writeInt(code).writeBytes(data).toFrame('R');
    }

    /** A zero byte would end the field, and what follows it would be read as further fields. */
    private static void field(BodyWriter body, char code, String value) {
        if (!value.isEmpty()) {
            body.writeByte(code).writeString(value.replace('\0', '\uFFFD'));
        }
    }

    private static void column(BodyWriter body, io.vavr.control.Option<byte[]> value) {
        if (value.isEmpty()) {
            body.writeInt(-1);
            return;
        }
        body.writeInt(value.get().length).writeBytes(value.get());
    }

    /**
     * A reported parameter.
     *
     * @param name the parameter
     * @param value its value
     */
    public record Parameter(String name, String value) {}

    /**
     * The numbers that a cancel request must present.
     *
     * @param process process number
     * @param secret secret
     */
    public record KeyData(int process, int secret) {}

    /**
     * The fields of an error that routing needs.
     *
     * @param sqlState five characters; empty when missing
     * @param message one line
     */
    public record ErrorReport(String sqlState, String message) {}
}
