package org.hyssopswitch.load.audit;

/** Kinds of breaches that the audit finds. */
public enum FindingKind {
    /** An acknowledged ledger row is missing. */
    LOST,
    /** A ledger row that was sent once is there more than once. */
    DOUBLED,
    /** A read shows a row older than the session's own acknowledged write. */
    STALE,
    /** An answer belongs to another request or client account. */
    CROSSED,
    /** A statement ran although its refusal said that it did not. */
    UNTRUE_REFUSAL,
    /** A transaction is there in part. */
    PARTIAL
}
