package org.hyssopswitch.core.engine;

import io.vavr.control.Either;
import java.util.List;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/** An input of the decision core, delivered by its driver. */
public sealed interface Event {

    /**
     * A message arrived from another VM.
     *
     * @param from the sender, as authenticated by the link
     * @param message the message
     */
    record MessageReceived(VmAddress from, PeerMessage message) implements Event {}

    /**
     * The link to a VM failed or could not be opened.
     *
     * @param to the VM at the other end of the link
     */
    record LinkFailed(VmAddress to) implements Event {}

    /**
     * A call for an object of the platform completed.
     *
     * @param call call identifier from the action
     * @param result the object, or the failure of the call
     */
    record ObjectCallCompleted(long call, Either<PlatformFailure, StoredObject> result) implements Event {}

    /**
     * A watch of a prefix completed.
     *
     * @param call call identifier from the action
     * @param result the changed objects, or the failure of the call
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
     * A control call to an endpoint completed.
     *
     * @param call call identifier from the action
     * @param endpoint the endpoint
     * @param result the reply of the endpoint, or the failure of the call
     */
    record EndpointCallCompleted(long call, EndpointId endpoint, Either<? extends Failure, ControlReply> result)
            implements Event {}
}
