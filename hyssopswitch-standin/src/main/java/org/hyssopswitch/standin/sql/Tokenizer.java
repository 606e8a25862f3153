package org.hyssopswitch.standin.sql;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Splits SQL text into tokens; comments are skipped. */
final class Tokenizer {

    private static final Pattern TOKEN = Pattern.compile(
            "\\s+|/\\*.*?\\*/|--[^\\n]*"
                    + "|(?<string>'(?:[^']|'')*')"
                    + "|\\$(?<parameter>\\d+)"
                    + "|(?<number>-?\\d+(?:\\.\\d+)?)"
                    + "|\"(?<quoted>[^\"]+)\"|(?<word>[A-Za-z_][A-Za-z0-9_.]*)"
                    + "|(?<symbol>::|[(),=*;])",
            Pattern.DOTALL);

    private Tokenizer() {}

    static List<Token> tokens(String sql) {
        List<Token> tokens = new ArrayList<>();
        Matcher matcher = TOKEN.matcher(sql);
        int position = 0;
        while (position < sql.length()) {
            if (!matcher.find(position) || matcher.start() != position) {
                throw new SqlException(SqlError.SYNTAX_ERROR, "unexpected character at position " + (position + 1));
            }
            add(tokens, matcher);
            position = matcher.end();
        }
        tokens.add(Token.END);
        return tokens;
    }

    private static void add(List<Token> tokens, Matcher matcher) {
        if (matcher.group("string") != null) {
            String quoted = matcher.group("string");
            tokens.add(new Token(
                    Token.Kind.STRING, quoted.substring(1, quoted.length() - 1).replace("''", "'")));
        } else if (matcher.group("parameter") != null) {
            tokens.add(new Token(Token.Kind.PARAMETER, matcher.group("parameter")));
        } else if (matcher.group("number") != null) {
            tokens.add(new Token(Token.Kind.NUMBER, matcher.group("number")));
        } else if (matcher.group("quoted") != null) {
            tokens.add(new Token(Token.Kind.WORD, matcher.group("quoted")));
        } else if (matcher.group("word") != null) {
            tokens.add(new Token(Token.Kind.WORD, matcher.group("word").toLowerCase(Locale.ROOT)));
        } else if (matcher.group("symbol") != null) {
            tokens.add(new Token(Token.Kind.SYMBOL, matcher.group("symbol")));
        }
    }
}
