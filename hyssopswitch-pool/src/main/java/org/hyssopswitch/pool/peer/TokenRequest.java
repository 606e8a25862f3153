package org.hyssopswitch.pool.peer;

import java.util.Map;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * A VM asks for operations of client accounts that others may spend and do not need.
 *
 * @param wanted number of operations by client account
 */
public record TokenRequest(Map<String, Double> wanted) implements PeerMessage {}
