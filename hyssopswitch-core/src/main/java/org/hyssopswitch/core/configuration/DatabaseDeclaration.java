package org.hyssopswitch.core.configuration;

import java.util.List;
import org.hyssopswitch.core.identity.DatabaseId;

/**
 * A declared database.
 *
 * @param id the database
 * @param endpoints the endpoints of its group; an odd number
 * @param slots statements that one endpoint runs at a time, 1 or more
 * @param connections connections that one endpoint accepts in total from all VMs, 2 or more
 */
public record DatabaseDeclaration(DatabaseId id, List<EndpointDeclaration> endpoints, int slots, int connections) {

    /** Validates the ranges and makes an immutable copy of the list. */
    public DatabaseDeclaration {
        endpoints = List.copyOf(endpoints);
        if (endpoints.size() % 2 == 0) {
            throw new IllegalArgumentException(
                    "database " + id + " must have an odd number of endpoints, but has " + endpoints.size());
        }
        if (slots < 1 || connections < 2) {
            throw new IllegalArgumentException("database " + id
                    + " must have at least 1 slot and 2 connections, but has " + slots + " and " + connections);
        }
    }

    /** Returns the number of endpoints that form a majority of the group. */
    public int majority() {
        return endpoints.size() / 2 + 1;
    }
}
