package org.hyssopswitch.core.key;

import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.identity.ClientAccountId;

/**
 * The key that authenticated a session. It is in force for as long as the configuration contains this verifier.
 *
 * @param account the client account
 * @param verifier the verifier that accepted the key
 */
public record SessionKey(ClientAccountId account, KeyVerifier verifier) {}
