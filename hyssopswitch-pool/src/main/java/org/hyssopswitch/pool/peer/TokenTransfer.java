package org.hyssopswitch.pool.peer;

import java.util.Map;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Answers a {@link TokenRequest} with unused tokens, or with none.
 *
 * @param tokens number of tokens by client account
 * @param left number of unused tokens that the sender has left, by client account
 */
public record TokenTransfer(Map<String, Double> tokens, Map<String, Double> left) implements PeerMessage {}
