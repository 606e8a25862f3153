package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks for the subtrees that the sender lacks.
 *
 * @param sequence number that the page repeats
 * @param appliedVersion version that the sender has in force, against which subtrees may be encoded
 * @param afterVersion version beyond which changed subtrees are wanted; above the applied one from the second page on
 * @param withoutBase whether subtrees must not be encoded against older versions
 */
public record ConfigurationRequest(long sequence, long appliedVersion, long afterVersion, boolean withoutBase)
        implements PeerMessage {}
