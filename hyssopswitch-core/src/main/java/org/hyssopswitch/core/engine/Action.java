package org.hyssopswitch.core.engine;

import java.util.Optional;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;

/** What the decision core asks its outer driver to do; results come back as {@link Event}s. */
public sealed interface Action {

    /**
     * Sends a message to another VM; delivery is not guaranteed.
     *
     * @param to the VM
     * @param message the message
     */
    record SendMessage(VmAddress to, PeerMessage message) implements Action {}

    /**
     * Reads an object of the platform.
     *
     * @param call number that identifies the answer
     * @param path path of the object
     */
    record ReadObject(long call, String path) implements Action {}

    /**
     * Waits until an object has a version above the given one, then reads it.
     *
     * @param call number that identifies the answer
     * @param path path of the object
     * @param afterVersion version that the caller has; 0 for none
     */
    record WatchObject(long call, String path, long afterVersion) implements Action {}

    /**
     * Waits until an object below a prefix has a version above the given one, then reads all objects that have.
     *
     * @param call number that identifies the answer
     * @param prefix path prefix, ending in a slash
     * @param afterVersion version up to which the caller knows all objects; 0 for none
     */
    record WatchPrefix(long call, String prefix, long afterVersion) implements Action {}

    /**
     * Writes an object if it still has the expected version.
     *
     * @param call number that identifies the answer
     * @param path path of the object
     * @param expectedVersion version that must be current; 0 to create the object
     * @param value the new value, at most 1 MB
     */
    record UpdateObject(long call, String path, long expectedVersion, byte[] value) implements Action {}

    /** Reads the platform's list of VMs. */
    record ListVms() implements Action {}

    /**
     * Makes a control call to an endpoint that this VM is home to.
     *
     * @param call number that identifies the answer
     * @param endpoint the endpoint
     * @param request the request
     * @param timeoutMillis milliseconds after which the call fails
     */
    record CallEndpoint(long call, EndpointId endpoint, ControlRequest request, long timeoutMillis) implements Action {}

    /**
     * Ends the wait of a statement whose answer was held back until its term and position were confirmed.
     *
     * @param ticket number given when the confirmation was requested
     * @param confirmed whether a majority confirmed; otherwise the outcome is unknown
     */
    record ResolveCommit(long ticket, boolean confirmed) implements Action {}

    /**
     * Ends the wait of a session for its floor.
     *
     * @param ticket number given when the floor was requested
     * @param floor the floor; empty when none could be confirmed in time
     */
    record ResolveFloor(long ticket, Optional<LogPosition> floor) implements Action {}

    /**
     * Takes a configuration into force on this VM.
     *
     * @param configuration the configuration
     */
    record ApplyConfiguration(Configuration configuration) implements Action {}
}
