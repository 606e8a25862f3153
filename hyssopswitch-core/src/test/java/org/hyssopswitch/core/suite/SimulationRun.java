package org.hyssopswitch.core.suite;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.hyssopswitch.core.failover.DefaultSuspicionPolicy;
import org.hyssopswitch.core.failover.FailoverSettings;
import org.hyssopswitch.core.failover.SuspicionPolicy;

/**
 * One simulation run, fully determined by its seed and faults. {@code parse} reads the text that {@code toString}
 * gives.
 */
record SimulationRun(long seed, List<Window> faults) {

    static final long HEALED_MILLIS = 16_000;
    private static final long END_MILLIS = 26_000;

    /** Parses {@code seed:FAULT@begin+duration,...}, with times in milliseconds; faults may be absent. */
    static SimulationRun parse(String text) {
        String[] parts = text.split(":", 2);
        List<Window> windows = Arrays.stream(parts[1].split(","))
                .filter(w -> !w.isBlank())
                .map(Window::parse)
                .toList();
        return new SimulationRun(Long.parseLong(parts[0]), windows);
    }

    @Override
    public String toString() {
        return seed + ":" + faults.stream().map(Window::toString).collect(Collectors.joining(","));
    }

    History run(ProtocolMutation mutation) {
        return run(mutation, new DefaultSuspicionPolicy(FailoverSettings.DEFAULT), FailoverSettings.DEFAULT);
    }

    History run(ProtocolMutation mutation, SuspicionPolicy policy, FailoverSettings settings) {
        SimulatedCluster cluster = new SimulatedCluster(seed, mutation, policy, settings);
        SimulatedWorkload workload = new SimulatedWorkload(cluster);
        cluster.workload = workload;
        faults.forEach(w -> {
            cluster.scheduleAt(w.beginMillis(), () -> w.fault().begin(cluster));
            cluster.scheduleAt(
                    w.beginMillis() + w.durationMillis(), () -> w.fault().end(cluster));
        });
        cluster.scheduleAt(END_MILLIS - 4_000, workload::stop);
        cluster.runUntil(END_MILLIS);
        cluster.history.add(new History.RunEnded(END_MILLIS, cluster.primary().writes()));
        return cluster.history;
    }

    /**
     * Runs and audits; fails with the violations, a reduced schedule that still causes one, and the command to replay
     * it.
     */
    History runAndAudit() {
        History fullHistory = run(ProtocolMutation.NONE);
        if (Audit.findViolations(fullHistory).isEmpty()) {
            return fullHistory;
        }
        SimulationRun minimal = minimised();
        History minimalHistory = minimal.run(ProtocolMutation.NONE);
        throw new AssertionError(String.join("\n", Audit.findViolations(minimalHistory))
                + "\nschedule " + this + "\nminimal  " + minimal + "\ntrace\n" + minimalHistory.formatLastEvents(40)
                + "replay: mvn -o -q test -pl hyssopswitch-core -Dtest=ReplayTests -Dhyssop.replay='" + minimal + "'");
    }

    /** Removes faults one by one for as long as the run still violates a guarantee. */
    private SimulationRun minimised() {
        for (Window window : faults) {
            List<Window> remaining = new ArrayList<>(faults);
            remaining.remove(window);
            SimulationRun candidate = new SimulationRun(seed, remaining);
            if (!Audit.findViolations(candidate.run(ProtocolMutation.NONE)).isEmpty()) {
                return candidate.minimised();
            }
        }
        return this;
    }

    /** A fault and the period during which it is active. */
    record Window(Fault fault, long beginMillis, long durationMillis) {
        static Window parse(String text) {
            String[] parts = text.split("[@+]");
            return new Window(Fault.valueOf(parts[0]), Long.parseLong(parts[1]), Long.parseLong(parts[2]));
        }

        @Override
        public String toString() {
            return fault + "@" + beginMillis + "+" + durationMillis;
        }
    }
}
