package org.hyssopswitch.standin.sql;

/**
 * A column of a table or of a result.
 *
 * @param name its name
 * @param typeOid object identifier of its type
 */
public record Column(String name, int typeOid) {

    /** Object identifier of the type {@code text}. */
    public static final int TEXT_OID = 25;

    /** Object identifier of the type {@code int8}. */
    public static final int INT8_OID = 20;

    /** Object identifier of the type {@code int4}. */
    public static final int INT4_OID = 23;

    /**
     * A column of text.
     *
     * @param name its name
     */
    public static Column text(String name) {
        return new Column(name, TEXT_OID);
    }

    /**
     * A column of 64-bit numbers.
     *
     * @param name its name
     */
    public static Column int8(String name) {
        return new Column(name, INT8_OID);
    }
}
