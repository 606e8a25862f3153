package org.hyssopswitch.core.position;

/** The role of an endpoint in its database group. */
public enum EndpointRole {
    /** Accepts writes of its term. */
    PRIMARY,
    /** Applies the primary's log and serves reads. */
    REPLICA,
    /** Has accepted a newer term and waits for the primary of that term; accepts no writes. */
    FENCED
}
