package org.hyssopswitch.proxy.home;

import java.util.random.RandomGenerator;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * Options of the homes of a VM.
 *
 * @param self this VM
 * @param users users with which to log in to endpoints
 * @param random source of jitter
 */
public record HomeOptions(VmAddress self, EndpointUsers users, RandomGenerator random) {

    /** Returns the application_name that endpoints see. */
    String application() {
        return self.vm() + "/" + self.incarnation();
    }
}
