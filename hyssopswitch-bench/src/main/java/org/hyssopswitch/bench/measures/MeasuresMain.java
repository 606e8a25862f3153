package org.hyssopswitch.bench.measures;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.hyssopswitch.app.baseline.BaselinePolicy;
import org.hyssopswitch.app.fleet.CorePolicy;
import org.hyssopswitch.app.fleet.FleetFault;
import org.hyssopswitch.app.fleet.FleetRun;
import org.hyssopswitch.load.profile.LoadProfile;
import org.hyssopswitch.load.report.LoadReport;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints the table of docs/MEASURES.md: every deployment, fault and policy with the same seed. */
@Command(
        name = "measures",
        mixinStandardHelpOptions = true,
        description = "Runs the deployments of both users under each fault, with the product and a baseline policy.")
public final class MeasuresMain implements Callable<Integer> {

    private static final long MILLIS_PER_SECOND = 1_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--profiles", split = ",", defaultValue = "maré-alta,pellets", description = "deployments")
    private List<String> profiles = new ArrayList<>();

    @Option(
            names = "--faults",
            split = ",",
            defaultValue =
                    "CALM,PRIMARY_CUT,PRIMARY_CRASH,PRIMARY_FROZEN,SLOW_ANSWERS,REPLICAS_LAG,VM_KILLED,VM_DRAINED,"
                            + "PLATFORM_DOWN,PLATFORM_DOWN_PRIMARY_CUT",
            description = "faults: ${COMPLETION-CANDIDATES}")
    private List<FleetFault> faults = new ArrayList<>();

    @Option(names = "--seed", defaultValue = "1", description = "seed of arrivals, operations and moves")
    private long seed;

    @Option(names = "--duration", defaultValue = "12", description = "seconds for which operations arrive")
    private long durationSeconds;

    @Option(names = "--policies", split = ",", defaultValue = "product,baseline", description = "policies to run")
    private List<String> policies = new ArrayList<>();

    private MeasuresMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new MeasuresMain()).execute(arguments));
    }

    @Override
    public Integer call() {
        print(MeasureRow.HEADER);
        for (String profile : profiles) {
            for (FleetFault fault : faults) {
                measure(profile, fault);
            }
        }
        return CommandLine.ExitCode.OK;
    }

    private void measure(String profile, FleetFault fault) {
        policies.forEach(p -> print(run(profile, fault, p).toMarkdown()));
    }

    private MeasureRow run(String profile, FleetFault fault, String policy) {
        LoadProfile load = LoadProfile.included(profile);
        FleetRun run = new FleetRun(load, policy(policy), fault, seed, durationSeconds * MILLIS_PER_SECOND);
        LoadReport report = run.run(p -> {});
        report.findings().forEach(f -> spec.commandLine().getErr().println("event=breach finding=\"" + f + "\""));
        return new MeasureRow(profile, fault, policy, report);
    }

    private CorePolicy policy(String name) {
        return switch (name) {
            case "product" -> CorePolicy.PRODUCT;
            case "baseline" -> new BaselinePolicy();
            default ->
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--policies must name product or baseline, but names " + name);
        };
    }

    private void print(String text) {
        spec.commandLine().getOut().print(text);
        spec.commandLine().getOut().flush();
    }
}
