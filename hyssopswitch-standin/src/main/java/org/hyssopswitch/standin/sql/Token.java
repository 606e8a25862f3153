package org.hyssopswitch.standin.sql;

/**
 * A token of a statement.
 *
 * @param kind what it is
 * @param text a word in lower case, the text of a string, the digits of a number or parameter, or the symbol
 */
record Token(Kind kind, String text) {

    static final Token END = new Token(Kind.END, "");

    boolean is(String expected) {
        return (kind == Kind.WORD || kind == Kind.SYMBOL) && text.equals(expected);
    }

    enum Kind {
        WORD,
        STRING,
        NUMBER,
        PARAMETER,
        SYMBOL,
        END
    }
}
