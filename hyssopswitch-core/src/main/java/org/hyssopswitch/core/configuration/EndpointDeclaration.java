package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.EndpointId;

/**
 * A declared endpoint of a database.
 *
 * @param id the endpoint
 * @param dataCentre the data centre it runs in
 * @param cell the cell whose VMs serve as its homes
 * @param host IP address
 * @param port TCP port, 1 to 65535
 * @param leaving whether the endpoint is being drained and gets no new work
 */
public record EndpointDeclaration(
        EndpointId id, DataCentreId dataCentre, CellId cell, String host, int port, boolean leaving) {

    /** Validates the port. */
    public EndpointDeclaration {
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException(
                    "the port of endpoint " + id + " must be between 1 and 65535, but is " + port);
        }
    }
}
