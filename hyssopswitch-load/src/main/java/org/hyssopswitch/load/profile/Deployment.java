package org.hyssopswitch.load.profile;

import java.util.List;

/**
 * The deployment that a profile is meant for.
 *
 * @param dataCentres the data centres
 * @param vms entry VMs over all data centres
 * @param databases the databases
 * @param endpoints endpoints of each database
 * @param slots statements that an endpoint runs at a time
 * @param connections connections that an endpoint accepts
 * @param connectionCostMillis milliseconds that a new connection takes
 */
public record Deployment(
        List<String> dataCentres,
        int vms,
        List<String> databases,
        int endpoints,
        int slots,
        int connections,
        long connectionCostMillis) {

    /** Checks the sizes and copies the lists. */
    public Deployment {
        dataCentres = List.copyOf(dataCentres);
        databases = List.copyOf(databases);
        if (dataCentres.isEmpty() || databases.isEmpty() || vms < 1 || endpoints < 1) {
            throw new IllegalArgumentException("a deployment needs data centres, databases, VMs and endpoints, but has "
                    + dataCentres + ", " + databases + ", " + vms + " and " + endpoints);
        }
    }

    Deployment ownedBy(String team) {
        List<String> owned = databases.stream().map(d -> team + "." + d).toList();
        return new Deployment(dataCentres, vms, owned, endpoints, slots, connections, connectionCostMillis);
    }
}
