package org.hyssopswitch.core.suite;

/** A mechanism that test code breaks on purpose, so that the audit has something to find. */
enum ProtocolMutation {
    NONE,
    /** Commits are acknowledged without asking anyone. */
    ACKNOWLEDGE_WITHOUT_MAJORITY,
    /** Latest reads are answered without a confirmation. */
    UNCONFIRMED_LATEST_READS,
    /** Reads are sent anywhere, whatever the session has written. */
    IGNORE_FLOOR,
    /** A session that arrives without a token starts with a floor of zero. */
    GUESS_FLOOR,
    /** Endpoints claim to accept a fence and go on as before. */
    PROMOTE_WITHOUT_FENCING,
    /** Fenced endpoints report their positions in reverse. */
    PROMOTE_LEAST_ADVANCED,
    /** Endpoints accept one term from several orderers. */
    REUSE_TERM,
    /** Endpoints answer awaits by offset alone, whatever the term. */
    ACCEPT_STALE_REPLY,
    /** Writes whose outcome is unknown are sent again. */
    REPEAT_UNKNOWN_WRITES,
    /** Writes whose outcome is unknown are reported as not run. */
    CLAIM_NOT_RUN,
    /** Leaving endpoints are declared as staying. */
    IGNORE_LEAVING
}
