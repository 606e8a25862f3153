package org.hyssopswitch.pool.peer;

import java.util.Map;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Transfers unused tokens to another VM.
 *
 * @param tokens number of tokens by client account
 */
public record TokenTransfer(Map<String, Double> tokens) implements PeerMessage {}
