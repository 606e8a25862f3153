package org.hyssopswitch.app.fleet;

import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.load.LoadOptions;
import org.hyssopswitch.load.LoadProgress;
import org.hyssopswitch.load.LoadRunner;
import org.hyssopswitch.load.profile.LoadProfile;
import org.hyssopswitch.load.report.LoadReport;

/**
 * One load run against a deployment of its own, with a fault in the middle.
 *
 * @param profile sizes, client accounts and traffic
 * @param policy decisions of the VMs
 * @param fault switched on after half of the duration
 * @param seed seed of the load
 * @param durationMillis milliseconds for which operations arrive
 */
public record FleetRun(LoadProfile profile, CorePolicy policy, FleetFault fault, long seed, long durationMillis) {

    /** Puts the profile's databases and client accounts below the deployment's team. */
    public FleetRun {
        profile = profile.ownedBy(FleetPlan.TEAM.value());
    }

    /**
     * Starts the deployment, runs the load and stops the deployment.
     *
     * @param progress told about once in a second
     * @return the report with the audit
     */
    public LoadReport run(Consumer<LoadProgress> progress) {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (Fleet fleet = Fleet.start(profile, policy)) {
            Future<?> injected = timer.schedule(() -> fault.inject(fleet), durationMillis / 2, TimeUnit.MILLISECONDS);
            LoadReport report = new LoadRunner(options(fleet), progress).run();
            requireInjected(injected);
            return report;
        } finally {
            timer.shutdownNow();
        }
    }

    /** A run whose fault could not be switched on would look like a calm one. */
    private void requireInjected(Future<?> injected) {
        try {
            injected.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HyssopException("interrupted while waiting for fault " + fault, e);
        } catch (ExecutionException e) {
            throw new HyssopException("fault " + fault + " could not be switched on", e);
        }
    }

    private LoadOptions options(Fleet fleet) {
        return new LoadOptions(
                profile,
                fleet.callerAddresses(),
                Map.of(),
                seed,
                durationMillis,
                LoadOptions.DEFAULT_ANSWER_TIMEOUT_MILLIS);
    }
}
