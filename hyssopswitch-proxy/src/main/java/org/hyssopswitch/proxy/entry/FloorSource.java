package org.hyssopswitch.proxy.entry;

import org.hyssopswitch.core.identity.DatabaseId;

/** Finds the floors of sessions that arrived without a token. */
@FunctionalInterface
public interface FloorSource {

    /**
     * Requests a floor; it is given to {@link EntryService#floorResolved}.
     *
     * @param ticket number that identifies the answer
     * @param database the database of the session
     * @param deadlineMillis time of the monotonic clock at which the request is given up
     */
    void request(long ticket, DatabaseId database, long deadlineMillis);
}
