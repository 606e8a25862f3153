package org.hyssopswitch.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.VmAddress;

/** The platform's object API and its list of VMs. Calls do not block; stages never complete exceptionally. */
public interface PlatformClient extends AutoCloseable {

    /**
     * Reads an object.
     *
     * @param path path of the object
     * @return the object; version 0 when it does not exist
     */
    CompletionStage<Either<PlatformFailure, StoredObject>> read(String path);

    /**
     * Waits until an object has a version above the given one.
     *
     * @param path path of the object
     * @param afterVersion version that the caller has
     * @param waitMillis milliseconds after which the unchanged object is returned
     */
    CompletionStage<Either<PlatformFailure, StoredObject>> watch(String path, long afterVersion, long waitMillis);

    /**
     * Waits until objects below a prefix have versions above the given one.
     *
     * @param prefix path prefix, ending in a slash
     * @param afterVersion version up to which the caller knows all objects
     * @param waitMillis milliseconds after which an empty list is returned
     */
    CompletionStage<Either<PlatformFailure, PrefixChanges>> watchPrefix(
            String prefix, long afterVersion, long waitMillis);

    /**
     * Writes an object if it has the expected version.
     *
     * @param path path of the object
     * @param expectedVersion version that must be current; 0 to create the object
     * @param value the new value, at most 1 MB
     * @return the object as written
     */
    CompletionStage<Either<PlatformFailure, StoredObject>> update(String path, long expectedVersion, byte[] value);

    /** Reads the list of VMs. */
    CompletionStage<Either<PlatformFailure, VmList>> listVms();

    /**
     * Registers a VM that has started; the list of VMs shows it some time later.
     *
     * @param vm the VM with its incarnation and the address of its peer listener
     * @return the VM as registered
     */
    CompletionStage<Either<PlatformFailure, VmAddress>> register(VmAddress vm);

    /** Ends pending calls. */
    @Override
    void close();

    /**
     * The platform's list of VMs, which lags behind the truth.
     *
     * @param live VMs that run
     * @param leaving VMs that are about to be removed
     */
    record VmList(List<VmAddress> live, List<VmAddress> leaving) {

        /** Copies the lists. */
        public VmList {
            live = List.copyOf(live);
            leaving = List.copyOf(leaving);
        }
    }
}
