package org.hyssopswitch.ctl;

import io.vavr.control.Either;
import java.io.PrintWriter;
import java.util.concurrent.TimeUnit;
import org.hyssopswitch.platform.PlatformClient;
import picocli.CommandLine.Option;

/** The options of commands that wait until a change is in force. */
final class WaitMixin {

    @Option(
            names = "--wait-millis",
            paramLabel = "MS",
            defaultValue = "15000",
            description =
                    "Milliseconds to wait until the change is in force; 0 not to wait. Default: ${DEFAULT-VALUE}.")
    private long waitMillis;

    /** Waits for a version and says so. */
    Either<CtlFailure, Long> await(PlatformClient platform, long version, PrintWriter messages) {
        if (waitMillis == 0) {
            return Either.right(version);
        }
        InForceWaiter waiter = new InForceWaiter(platform, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
        return waiter.await(version, waitMillis).map(vms -> {
            messages.println("version " + version + " is in force on " + vms + " VMs");
            return version;
        });
    }
}
