package org.hyssopswitch.proxy.entry;

import java.util.List;
import java.util.regex.Pattern;
import org.hyssopswitch.wire.Frame;

/**
 * Recognizes a cycle that opens a transaction.
 *
 * <p>Drivers send the transaction's first statement right behind its start, without waiting for the answer. When the
 * start is refused, that statement must not run on its own.
 */
final class TransactionStart {

    private static final Pattern START = Pattern.compile(
            "(\\s|/\\*.*?\\*/|--[^\\n]*\\n)*+(BEGIN|START\\s+TRANSACTION)\\b.*",
            Pattern.CASE_INSENSITIVE | Pattern.DOTALL);

    private TransactionStart() {}

    /**
     * Tells whether a statement of the cycle starts a transaction.
     *
     * @param frames the cycle
     * @param statements the statements of the session
     */
    static boolean matches(List<Frame> frames, PreparedStatements statements) {
        return frames.stream().anyMatch(f -> CycleRoute.sql(f, statements)
                .exists(sql -> START.matcher(sql).matches()));
    }
}
