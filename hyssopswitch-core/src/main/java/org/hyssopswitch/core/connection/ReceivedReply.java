package org.hyssopswitch.core.connection;

import io.vavr.control.Option;
import java.util.Objects;

/**
 * The parts of a reply by which it is told apart from others.
 *
 * @param succeeded whether the command succeeded
 * @param signature signature of the run; nothing if the reply carries none
 * @param rows whether the reply has rows
 * @param status transaction status afterwards
 */
public record ReceivedReply(boolean succeeded, Option<String> signature, boolean rows, TransactionStatus status) {

    /** Checks that only a success carries a signature. */
    public ReceivedReply {
        Objects.requireNonNull(status, "a reply must have a transaction status");
        if (!succeeded && signature.isDefined()) {
            throw new IllegalArgumentException("an error must not carry a signature");
        }
    }
}
