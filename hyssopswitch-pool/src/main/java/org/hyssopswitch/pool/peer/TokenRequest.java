package org.hyssopswitch.pool.peer;

import java.util.Map;
import org.hyssopswitch.core.admission.TokenNeed;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks another VM that holds tokens of client accounts for some of them.
 *
 * @param needs what the sender needs, by client account
 */
public record TokenRequest(Map<String, TokenNeed> needs) implements PeerMessage {}
