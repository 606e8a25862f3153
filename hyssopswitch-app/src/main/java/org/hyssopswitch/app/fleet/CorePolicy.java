package org.hyssopswitch.app.fleet;

import org.hyssopswitch.proxy.vm.VmCore;

/** Changes the decisions of a VM before it starts, so that two policies can be compared in the same deployment. */
@FunctionalInterface
public interface CorePolicy {

    /** Leaves the decisions as the product has them. */
    CorePolicy PRODUCT = (core, vms) -> core;

    /**
     * Replaces decisions.
     *
     * @param core the product's decisions
     * @param vms number of VMs in the deployment
     */
    VmCore apply(VmCore core, int vms);
}
