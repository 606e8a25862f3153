package org.hyssopswitch.load.audit;

import java.util.Optional;

/**
 * A read and what it must show.
 *
 * @param request identifier of the read, which the answer repeats
 * @param key key that was asked for
 * @param floor number of the session's last acknowledged write of the key; 0 for none or for a key of another session
 * @param answer the row; empty for no row
 */
public record ReadCheck(String request, String key, long floor, Optional<ReadAnswer> answer) {

    /**
     * A row that a read returned.
     *
     * @param request the identifier as repeated
     * @param key key of the row
     * @param value value of the row
     */
    public record ReadAnswer(String request, String key, String value) {}
}
