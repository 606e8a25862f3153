package org.hyssopswitch.core.limit;

import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks the owner of a slot to record as soon as possible that its outstanding shares fit the splits of a configuration
 * version.
 *
 * @param lender data centre of the slot
 * @param slot the slot
 * @param version the configuration version
 */
public record SettleRequest(DataCentreId lender, int slot, long version) implements PeerMessage {}
