package org.hyssopswitch.core.engine;

import java.util.Optional;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;

/** A side effect that the decision core requests from its driver; results are delivered as {@link Event}s. */
public sealed interface Action {

    /**
     * Sends a message to another VM; delivery is not guaranteed.
     *
     * @param to the VM
     * @param message the message
     */
    record SendMessage(VmAddress to, PeerMessage message) implements Action {}

    /**
     * Reads an object of the platform's store.
     *
     * @param call identifier that the resulting event carries
     * @param path path of the object
     */
    record ReadObject(long call, String path) implements Action {}

    /**
     * Waits until an object has a version above the given one, then reads it.
     *
     * @param call identifier that the resulting event carries
     * @param path path of the object
     * @param afterVersion version that this VM has; 0 for none
     */
    record WatchObject(long call, String path, long afterVersion) implements Action {}

    /**
     * Waits until an object below a prefix has a version above the given one, then reads all objects below the prefix
     * with such a version.
     *
     * @param call identifier that the resulting event carries
     * @param prefix path prefix, ending in a slash
     * @param afterVersion version up to which this VM has all objects; 0 for none
     */
    record WatchPrefix(long call, String prefix, long afterVersion) implements Action {}

    /**
     * Writes an object, provided that it has the expected version.
     *
     * @param call identifier that the resulting event carries
     * @param path path of the object
     * @param expectedVersion version that the object must have; 0 to create the object
     * @param value the new value, at most 1 MB
     */
    record UpdateObject(long call, String path, long expectedVersion, byte[] value) implements Action {}

    /** Reads the platform's list of VMs. */
    record ListVms() implements Action {}

    /**
     * Makes a control call to an endpoint that this VM is home to.
     *
     * @param call identifier that the resulting event carries
     * @param endpoint the endpoint
     * @param request the request
     * @param timeoutMillis timeout of the call in milliseconds
     */
    record CallEndpoint(long call, EndpointId endpoint, ControlRequest request, long timeoutMillis) implements Action {}

    /**
     * Completes the confirmation of a statement whose response was withheld until a majority confirmed its term and log
     * position.
     *
     * @param ticket identifier assigned when the confirmation was requested
     * @param confirmed whether a majority confirmed; if not, the outcome of the statement is unknown
     */
    record ResolveCommit(long ticket, boolean confirmed) implements Action {}

    /**
     * Completes a session's request for its floor.
     *
     * @param ticket identifier assigned when the floor was requested
     * @param floor the floor; empty when none was confirmed before the request timed out
     */
    record ResolveFloor(long ticket, Optional<LogPosition> floor) implements Action {}

    /**
     * Applies a configuration on this VM.
     *
     * @param configuration the configuration
     */
    record ApplyConfiguration(Configuration configuration) implements Action {}
}
