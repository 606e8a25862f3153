package org.hyssopswitch.proxy.vm;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.platform.PlatformClient;

/** A platform that is away. */
final class NoPlatform implements PlatformClient {

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> read(String path) {
        return away(path);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> watch(
            String path, long afterVersion, long waitMillis) {
        return away(path);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, PrefixChanges>> watchPrefix(
            String prefix, long afterVersion, long waitMillis) {
        return away(prefix);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> update(
            String path, long expectedVersion, byte[] value) {
        return away(path);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, VmList>> listVms() {
        return away("vms");
    }

    @Override
    public CompletionStage<Either<PlatformFailure, VmAddress>> register(VmAddress vm) {
        return away("vms/" + vm.vm());
    }

    @Override
    public void close() {}

    private static <T> CompletionStage<Either<PlatformFailure, T>> away(String path) {
        return CompletableFuture.completedFuture(Either.left(new PlatformFailure.NoAnswer(path, "away")));
    }
}
