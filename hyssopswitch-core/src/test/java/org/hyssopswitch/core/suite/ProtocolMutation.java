package org.hyssopswitch.core.suite;

/** A deliberate defect in one mechanism, which proves that the audit detects its violations. */
enum ProtocolMutation {
    NONE,
    /** Commits are acknowledged without confirmation by a majority. */
    ACKNOWLEDGE_WITHOUT_MAJORITY,
    /** Reads of the latest data are answered without confirmation by a majority. */
    UNCONFIRMED_LATEST_READS,
    /** The selector ignores the session's floor. */
    IGNORE_FLOOR,
    /** A session that connects without a token gets a floor of zero instead of an unknown one. */
    GUESS_FLOOR,
    /** Endpoints report a fence as accepted without applying it, and accept promotions that no fence preceded. */
    PROMOTE_WITHOUT_FENCING,
    /** Endpoints answer fences with an inverted position, so that the least advanced one appears the most advanced. */
    PROMOTE_LEAST_ADVANCED,
    /** Endpoints accept the same term from several promotion coordinators. */
    REUSE_TERM,
    /** Endpoints accept every await and report the awaited term as their own, whatever they have applied. */
    ACCEPT_STALE_REPLY,
    /** Writes whose outcome is unknown are sent again. */
    REPEAT_UNKNOWN_WRITES,
    /** Writes whose outcome is unknown are reported as not run. */
    CLAIM_NOT_RUN,
    /** Leaving endpoints are declared as staying. */
    IGNORE_LEAVING
}
