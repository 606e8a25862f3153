package org.hyssopswitch.core.engine;

import io.vavr.control.Either;
import java.util.List;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/** What an outer driver tells the decision core. */
public sealed interface Event {

    /**
     * A message arrived from another VM.
     *
     * @param from the sender, as authenticated by the link
     * @param message the message
     */
    record MessageReceived(VmAddress from, PeerMessage message) implements Event {}

    /**
     * The link to a VM broke or could not be opened.
     *
     * @param to the VM that was addressed
     */
    record LinkFailed(VmAddress to) implements Event {}

    /**
     * A call to the platform ended.
     *
     * @param call number given in the action
     * @param result the object, or why the call failed
     */
    record ObjectCallCompleted(long call, Either<PlatformFailure, StoredObject> result) implements Event {}

    /**
     * A watch of a prefix ended.
     *
     * @param call number given in the action
     * @param result the changed objects, or why the call failed
     */
    record PrefixWatchCompleted(long call, Either<PlatformFailure, PrefixChanges> result) implements Event {}

    /**
     * The platform's list of VMs was read.
     *
     * @param live VMs listed as live
     * @param leaving VMs listed as leaving
     */
    record VmsListed(List<VmAddress> live, List<VmAddress> leaving) implements Event {}

    /**
     * A control call to an endpoint ended.
     *
     * @param call number given in the action
     * @param endpoint the endpoint
     * @param result what the endpoint answered, or why the call failed
     */
    record EndpointCallCompleted(long call, EndpointId endpoint, Either<? extends Failure, ControlReply> result)
            implements Event {}
}
