package org.hyssopswitch.proxy.vm;

import java.util.function.ToIntFunction;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;

/** Creates the decisions of a VM once its address is known. */
@FunctionalInterface
public interface VmCoreFactory {

    /**
     * Creates the decisions.
     *
     * @param self the VM
     * @param load statements that run or wait at an endpoint that the VM is home to
     */
    VmCore create(VmAddress self, ToIntFunction<EndpointId> load);
}
