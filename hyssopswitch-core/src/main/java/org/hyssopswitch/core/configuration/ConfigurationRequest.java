package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Requests a page of the subtrees that the sender lacks.
 *
 * @param sequence number that the page repeats
 * @param appliedVersion version that the sender has in force; its subtrees may serve as bases of deltas
 * @param afterVersion requests the subtrees changed after this version; above the applied one from the second page on
 * @param withoutBase whether subtrees must be encoded without a base
 */
public record ConfigurationRequest(long sequence, long appliedVersion, long afterVersion, boolean withoutBase)
        implements PeerMessage {}
