package org.hyssopswitch.core.connection;

/** What the reply to a kind of command must look like, if the command succeeds. */
public enum ExpectedReply {

    /** Start of a transaction: no signature, no rows, a transaction is open afterwards. */
    TRANSACTION_START(false, RowRule.NONE),

    /** Rollback: no signature, no rows, no transaction is open afterwards. */
    TRANSACTION_END(false, RowRule.NONE),

    /** Session value, prepared statement or reset: no signature, no rows, the transaction status stays as it is. */
    SETUP(false, RowRule.NONE),

    /** Statement of a caller: a signature of its own, the transaction status stays as it is. */
    STATEMENT(true, RowRule.ANY),

    /** Commit: a signature of its own, no transaction is open afterwards. */
    COMMIT(true, RowRule.ANY),

    /** Query of the endpoint's status, or a demotion: no signature, rows, the transaction status stays as it is. */
    CONTROL(false, RowRule.SOME);

    private final boolean signed;
    private final RowRule rows;

    ExpectedReply(boolean signed, RowRule rows) {
        this.signed = signed;
        this.rows = rows;
    }

    /** Whether a success carries a signature that no other run has. */
    public boolean signed() {
        return signed;
    }

    boolean acceptsRows(boolean present) {
        return rows == RowRule.ANY || (rows == RowRule.SOME) == present;
    }

    TransactionStatus statusAfter(TransactionStatus before) {
        return switch (this) {
            case TRANSACTION_START -> TransactionStatus.OPEN;
            case TRANSACTION_END, COMMIT -> TransactionStatus.IDLE;
            default -> before;
        };
    }

    private enum RowRule {
        NONE,
        ANY,
        SOME
    }
}
