package org.hyssopswitch.app.demo;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.hyssopswitch.app.fleet.CorePolicy;
import org.hyssopswitch.app.fleet.FleetFault;
import org.hyssopswitch.app.fleet.FleetRun;
import org.hyssopswitch.load.LoadProgress;
import org.hyssopswitch.load.profile.LoadProfile;
import org.hyssopswitch.load.report.LoadReport;
import org.hyssopswitch.load.report.ReportUtils;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a deployment of one of the users in this process under load, with a fault in the middle. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Runs stand-ins, three data centres, six VMs and a load in one process; a fault strikes midway.")
public final class DemoCommand implements Callable<Integer> {

    private static final int BREACH = 1;
    private static final long MILLIS_PER_SECOND = 1_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--profile", defaultValue = "maré-alta", description = "maré-alta or pellets")
    private String profile;

    @Option(names = "--fault", defaultValue = "PRIMARY_CUT", description = "one of ${COMPLETION-CANDIDATES}")
    private FleetFault fault;

    @Option(names = "--seed", defaultValue = "1", description = "seed of arrivals, operations and moves")
    private long seed;

    @Option(names = "--duration", defaultValue = "16", description = "seconds for which operations arrive")
    private long durationSeconds;

    @Option(names = "--rate-factor", defaultValue = "1", description = "factor on the profile's demand")
    private double factor;

    @Option(names = "--out", paramLabel = "DIR", description = "writes report.txt, report.csv and latency.png there")
    private Optional<Path> out = Optional.empty();

    @Override
    public Integer call() {
        PrintWriter err = spec.commandLine().getErr();
        LoadProfile load = LoadProfile.included(profile).withDemandTimes(factor);
        FleetRun run = new FleetRun(load, CorePolicy.PRODUCT, fault, seed, durationSeconds * MILLIS_PER_SECOND);
        LoadReport report = run.run(p -> err.println(progress(p)));
        spec.commandLine().getOut().print(ReportUtils.text(report));
        spec.commandLine().getOut().flush();
        out.ifPresent(d -> ReportUtils.write(report, d));
        return report.clean() ? ExitCode.OK : BREACH;
    }

    private String progress(LoadProgress p) {
        return "event=progress elapsed_ms=" + p.elapsedMillis() + " fault=" + fault + " arrived=" + p.arrived()
                + " ended=" + p.ended() + " breaches=" + p.breaches();
    }
}
