package org.hyssopswitch.proxy.home;

import java.util.random.RandomGenerator;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * How a VM acts as home.
 *
 * @param self this VM
 * @param users the proxy's credentials at endpoints
 * @param random source of jitter
 */
public record HomeOptions(VmAddress self, EndpointUsers users, RandomGenerator random) {

    /** The name that endpoints see. */
    String application() {
        return self.vm() + "/" + self.incarnation();
    }
}
