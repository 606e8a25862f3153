package org.hyssopswitch.proxy.home;

import java.io.ByteArrayOutputStream;
import org.hyssopswitch.wire.BodyWriter;
import org.hyssopswitch.wire.FrontendFrames;

/**
 * Numbers what is sent on a connection so that the answer repeats the number: it is written as the parameter types of a
 * prepared statement without text. Such a statement can be closed, prepared and described in a failed transaction too,
 * and leaves the unnamed statement and the portals alone.
 */
final class AnswerMark {

    /** A dot keeps it apart from the names that drivers choose. */
    private static final String STATEMENT = "hyssop.mark";

    /** Object identifiers of built-in types: one per hexadecimal digit. */
    private static final int[] DIGIT_OIDS = {
        16, 17, 19, 20, 21, 23, 25, 26, 700, 701, 1042, 1043, 1082, 1083, 1114, 1184
    };

    /** A number returns after 16,777,216 cycles of one connection. */
    private static final int DIGITS = 6;

    private static final int DIGIT_BITS = 4;
    private static final int DIGIT_MASK = 0xF;

    private int number;
    private byte[] description = new byte[0];

    /** Returns the frames with the next mark in front of them. */
    byte[] next(byte[] frames) {
        number++;
        description = describe();
        BodyWriter parse = new BodyWriter().writeString(STATEMENT).writeString("");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(FrontendFrames.close('S', STATEMENT).encode());
        out.writeBytes(parse.writeBytes(description).toFrame('P').encode());
        out.writeBytes(new BodyWriter()
                .writeByte('S')
                .writeString(STATEMENT)
                .toFrame('D')
                .encode());
        out.writeBytes(frames);
        return out.toByteArray();
    }

    /** Returns the body of the ParameterDescription that answers the mark sent last. */
    byte[] description() {
        return description;
    }

    private byte[] describe() {
        BodyWriter body = new BodyWriter().writeShort(DIGITS);
        for (int i = 0; i < DIGITS; i++) {
            body.writeInt(DIGIT_OIDS[(number >>> (i * DIGIT_BITS)) & DIGIT_MASK]);
        }
        return body.toBytes();
    }
}
