package org.hyssopswitch.load.audit;

/**
 * A breach.
 *
 * @param kind its kind
 * @param detail database, client account, request and what was seen
 */
public record Finding(FindingKind kind, String detail) {}
