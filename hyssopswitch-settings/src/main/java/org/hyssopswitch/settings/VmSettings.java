package org.hyssopswitch.settings;

import java.util.Optional;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.settings.binding.Secret;

/**
 * The settings of one VM. Its incarnation is not among them: it is the time of the start.
 *
 * @param vm the VM
 * @param dataCentre its data centre
 * @param cell its cell
 * @param listeners addresses that the VM listens on
 * @param platform how to reach the platform
 * @param fleetSecret secret by which VMs authenticate each other, at least 16 bytes
 * @param endpointUsers the VM's own users at the endpoints
 * @param tls certificate for callers; without it keys travel in the clear on loopback only
 * @param keys what happens to keys when the configuration cannot be confirmed
 * @param tuning times and limits
 */
public record VmSettings(
        VmId vm,
        DataCentreId dataCentre,
        CellId cell,
        Listeners listeners,
        PlatformSettings platform,
        Secret fleetSecret,
        EndpointUsers endpointUsers,
        Optional<TlsSettings> tls,
        KeySettings keys,
        TuningSettings tuning) {

    /**
     * The addresses that a VM listens on.
     *
     * @param caller for callers
     * @param peer for other VMs; they reach this VM at this address
     * @param operations for metrics, health and status
     */
    public record Listeners(ListenerSettings caller, ListenerSettings peer, ListenerSettings operations) {}
}
