package org.hyssopswitch.pool.peer;

import java.util.Map;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks other VMs for tokens of client accounts that they hold and do not need.
 *
 * @param wanted number of tokens by client account
 */
public record TokenRequest(Map<String, Double> wanted) implements PeerMessage {}
