package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Tells the holder of the promotion duty that a VM cannot use the primary of a group.
 *
 * @param group the group
 * @param endpoint the endpoint that the VM takes for the primary; empty when it knows none
 */
public record PrimaryUnreachableReport(String group, String endpoint) implements PeerMessage {}
