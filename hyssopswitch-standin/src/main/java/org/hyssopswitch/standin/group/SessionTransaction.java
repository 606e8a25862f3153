package org.hyssopswitch.standin.group;

import io.vavr.control.Either;
import java.util.Optional;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.standin.sql.SqlError;
import org.hyssopswitch.standin.sql.SqlFailure;

/** The transaction of one session: explicit between BEGIN and COMMIT, otherwise implicit up to the end of a cycle. */
final class SessionTransaction {

    private final Endpoint endpoint;
    private final boolean reader;
    private boolean readOnlyDefault;
    private Optional<Transaction> open = Optional.empty();
    private boolean explicit;
    private boolean failed;
    private Optional<LogPosition> committed = Optional.empty();

    SessionTransaction(Endpoint endpoint, boolean reader) {
        this.endpoint = endpoint;
        this.reader = reader;
    }

    char status() {
        if (failed) {
            return 'E';
        }
        return explicit ? 'T' : 'I';
    }

    /** The open transaction; begins an implicit one when there is none. */
    Transaction current() {
        if (open.isEmpty()) {
            open = Optional.of(create(readOnlyDefault));
        }
        return open.get();
    }

    Optional<SqlFailure> refusal() {
        return failed
                ? Optional.of(new SqlFailure(
                        SqlError.TRANSACTION_FAILED, "current transaction is aborted, commands ignored until its end"))
                : Optional.empty();
    }

    /** Sets the access mode of the next transactions, or of the current one. */
    void setReadOnly(boolean readOnly, boolean session) {
        if (session) {
            readOnlyDefault = readOnly;
        } else {
            current().setReadOnly(readOnly || reader);
        }
    }

    void begin(boolean readOnly) {
        if (open.isEmpty()) {
            open = Optional.of(create(readOnly || readOnlyDefault));
        }
        explicit = true;
    }

    /** Commits and gives the command tag. */
    Either<SqlFailure, String> commit(long nowNanos) {
        if (failed) {
            rollback();
            return Either.right("ROLLBACK");
        }
        Optional<Transaction> ended = open;
        rollback();
        if (ended.isEmpty() || ended.get().mutations().isEmpty()) {
            return Either.right("COMMIT");
        }
        Either<SqlFailure, LogPosition> position = endpoint.commit(ended.get(), nowNanos);
        position.peek(p -> committed = Optional.of(p));
        return position.map(p -> "COMMIT");
    }

    void rollback() {
        open = Optional.empty();
        explicit = false;
        failed = false;
    }

    /** Notes an error: an implicit transaction ends, an explicit one waits for its rollback. */
    void fail() {
        if (explicit) {
            failed = true;
        } else {
            rollback();
        }
    }

    /** Commits an implicit transaction at the end of a cycle. */
    Optional<SqlFailure> endCycle(long nowNanos) {
        if (explicit || open.isEmpty()) {
            return Optional.empty();
        }
        Either<SqlFailure, String> result = commit(nowNanos);
        return result.isLeft() ? Optional.of(result.getLeft()) : Optional.empty();
    }

    /** The position of the last commit since the previous call. */
    Optional<LogPosition> takeCommitted() {
        Optional<LogPosition> result = committed;
        committed = Optional.empty();
        return result;
    }

    private Transaction create(boolean readOnly) {
        return new Transaction(endpoint.acceptedTerm(), readOnly || reader);
    }
}
