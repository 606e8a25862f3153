package org.hyssopswitch.standin.sql;

import java.util.List;

/** Reads tokens in order. */
final class TokenCursor {

    private final List<Token> tokens;
    private int position;

    TokenCursor(List<Token> tokens) {
        this.tokens = tokens;
    }

    /** The position, to return to by {@link #reset}. */
    int mark() {
        return position;
    }

    void reset(int mark) {
        position = mark;
    }

    Token peek() {
        return tokens.get(position);
    }

    Token next() {
        Token token = peek();
        if (token.kind() != Token.Kind.END) {
            position++;
        }
        return token;
    }

    /** Consumes the texts when they come next, all of them or none. */
    boolean accept(String... texts) {
        for (int i = 0; i < texts.length; i++) {
            int at = Math.min(position + i, tokens.size() - 1);
            if (!tokens.get(at).is(texts[i])) {
                return false;
            }
        }
        position += texts.length;
        return true;
    }

    void expect(String... texts) {
        if (!accept(texts)) {
            throw unexpected();
        }
    }

    String word() {
        Token token = next();
        if (token.kind() != Token.Kind.WORD) {
            throw unexpected(token);
        }
        return token.text();
    }

    boolean atEnd() {
        return peek().kind() == Token.Kind.END;
    }

    boolean atStatementEnd() {
        return atEnd() || peek().is(";");
    }

    /** Consumes all tokens up to the end of the statement. */
    String rest() {
        StringBuilder text = new StringBuilder();
        while (!atStatementEnd()) {
            text.append(text.isEmpty() ? "" : " ").append(next().text());
        }
        return text.toString();
    }

    SqlException unexpected() {
        return unexpected(peek());
    }

    private static SqlException unexpected(Token token) {
        String text = token.kind() == Token.Kind.END ? "end of input" : "\"" + token.text() + "\"";
        return new SqlException(SqlError.SYNTAX_ERROR, "syntax error at or near " + text);
    }
}
