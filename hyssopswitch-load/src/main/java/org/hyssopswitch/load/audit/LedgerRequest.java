package org.hyssopswitch.load.audit;

/**
 * A ledger row that a session sends once.
 *
 * @param database the database
 * @param account the client account
 * @param request identifier, unique in the run
 * @param amount the amount, which repeats the number of the request
 */
public record LedgerRequest(String database, String account, String request, long amount) {}
