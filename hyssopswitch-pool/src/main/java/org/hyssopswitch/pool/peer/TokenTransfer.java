package org.hyssopswitch.pool.peer;

import java.util.Map;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * A VM hands over operations that it will not spend itself.
 *
 * @param tokens number of operations by client account
 */
public record TokenTransfer(Map<String, Double> tokens) implements PeerMessage {}
