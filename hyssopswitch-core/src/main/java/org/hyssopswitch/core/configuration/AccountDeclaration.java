package org.hyssopswitch.core.configuration;

import java.util.List;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DatabaseId;

/**
 * A declared client account.
 *
 * @param id the client account
 * @param rate its rate and burst, summed over all VMs
 * @param databases the databases it may use
 * @param keys verifiers of its valid keys
 */
public record AccountDeclaration(ClientAccountId id, Rate rate, List<DatabaseId> databases, List<KeyVerifier> keys) {

    /** Makes immutable copies of the lists. */
    public AccountDeclaration {
        databases = List.copyOf(databases);
        keys = List.copyOf(keys);
    }
}
