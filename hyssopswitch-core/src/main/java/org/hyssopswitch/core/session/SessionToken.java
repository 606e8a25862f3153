package org.hyssopswitch.core.session;

import io.vavr.control.Either;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.position.LogPosition;

/**
 * The floor of a session, in the form in which callers pass it from one VM to another:
 * {@code v1:<database>:<term>:<offset>}.
 *
 * <p>A token is not signed. A forged one affects only the reads of its own session: they wait for a position that is
 * never reached, or return data older than the session's last write.
 *
 * @param database the database
 * @param floor the position of the session's last acknowledged write
 */
public record SessionToken(DatabaseId database, LogPosition floor) {

    private static final int MAX_LENGTH = 128;
    private static final Pattern TOKEN_PATTERN =
            Pattern.compile("v1:([a-z0-9][a-z0-9.-]{0,62}):(\\d{1,18}):(\\d{1,18})");

    /** Returns the token in text form. */
    public String format() {
        return "v1:" + database + ":" + floor.term() + ":" + floor.offset();
    }

    /**
     * Parses a token that a caller presents.
     *
     * @param text the token as received
     * @param expected the database that the session uses
     * @return the token, or the refusal when it is malformed or belongs to another database
     */
    public static Either<Refusal, SessionToken> parse(String text, DatabaseId expected) {
        if (text.length() > MAX_LENGTH) {
            return invalid("it is longer than " + MAX_LENGTH + " characters");
        }
        Matcher matcher = TOKEN_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return invalid("it must have the form v1:<database>:<term>:<offset>");
        }
        DatabaseId database = new DatabaseId(matcher.group(1));
        if (!database.equals(expected)) {
            return invalid("it belongs to database " + database + ", not " + expected);
        }
        long term = Long.parseLong(matcher.group(2));
        return Either.right(new SessionToken(database, new LogPosition(term, Long.parseLong(matcher.group(3)))));
    }

    private static Either<Refusal, SessionToken> invalid(String detail) {
        return Either.left(new Refusal.TokenInvalid(detail));
    }
}
