package org.hyssopswitch.core.placement;

import java.util.List;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.VmAddress;

/** Finds the VMs that own the connections to an endpoint. */
public interface HomeResolver {

    /**
     * Ranks the live VMs of the endpoint's cell for this endpoint.
     *
     * @param endpoint the endpoint
     * @return the home, then the standby; empty if no VM of the cell is known to be live
     */
    List<VmAddress> homes(EndpointDeclaration endpoint);
}
