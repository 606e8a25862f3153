package org.hyssopswitch.standin.group;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hyssopswitch.standin.sql.Column;
import org.hyssopswitch.standin.sql.SqlError;
import org.hyssopswitch.standin.sql.SqlException;

/** Converts between values as text and the formats of the protocol. */
final class ValueCodec {

    static final int TEXT_FORMAT = 0;

    private static final int INT2_OID = 21;
    private static final int FLOAT4_OID = 700;
    private static final int FLOAT8_OID = 701;

    private ValueCodec() {}

    /** The format of one column or parameter: none given means text, one given holds for all. */
    static int format(List<Integer> formats, int index) {
        if (formats.isEmpty()) {
            return TEXT_FORMAT;
        }
        return formats.size() == 1 ? formats.get(0) : formats.get(Math.min(index, formats.size() - 1));
    }

    static String decode(byte[] bytes, int oid, int format) {
        if (format == TEXT_FORMAT) {
            return new String(bytes, StandardCharsets.UTF_8);
        }
        int expected = width(oid);
        if (expected > 0 && bytes.length != expected) {
            throw new SqlException(
                    SqlError.INVALID_VALUE, "a binary value of type " + oid + " has " + bytes.length + " bytes");
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return switch (oid) {
            case INT2_OID -> Short.toString(buffer.getShort());
            case Column.INT4_OID -> Integer.toString(buffer.getInt());
            case Column.INT8_OID -> Long.toString(buffer.getLong());
            case FLOAT4_OID -> Float.toString(buffer.getFloat());
            case FLOAT8_OID -> Double.toString(buffer.getDouble());
            default -> new String(bytes, StandardCharsets.UTF_8);
        };
    }

    static byte[] encode(String value, int oid, int format) {
        if (format != TEXT_FORMAT && oid == Column.INT8_OID) {
            return ByteBuffer.allocate(Long.BYTES)
                    .putLong(Long.parseLong(value))
                    .array();
        }
        if (format != TEXT_FORMAT && oid == Column.INT4_OID) {
            return ByteBuffer.allocate(Integer.BYTES)
                    .putInt(Integer.parseInt(value))
                    .array();
        }
        return value.getBytes(StandardCharsets.UTF_8);
    }

    private static int width(int oid) {
        return switch (oid) {
            case INT2_OID -> Short.BYTES;
            case Column.INT4_OID, FLOAT4_OID -> Integer.BYTES;
            case Column.INT8_OID, FLOAT8_OID -> Long.BYTES;
            default -> 0;
        };
    }
}
