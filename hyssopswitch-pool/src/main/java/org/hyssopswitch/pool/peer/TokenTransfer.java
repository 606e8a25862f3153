package org.hyssopswitch.pool.peer;

import java.util.Map;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Answers a {@link TokenRequest} with unused tokens, or with none; or gives back tokens of operations that the receiver has
 * admitted and of which nothing was sent to an endpoint.
 *
 * @param tokens number of tokens by client account
 * @param left number of unused tokens that the sender has left, by client account; nothing for tokens given back
 */
public record TokenTransfer(Map<String, Double> tokens, Map<String, Double> left) implements PeerMessage {}
