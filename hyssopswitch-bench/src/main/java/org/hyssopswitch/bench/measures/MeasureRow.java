package org.hyssopswitch.bench.measures;

import java.util.Locale;
import org.hyssopswitch.app.fleet.FleetFault;
import org.hyssopswitch.load.audit.FindingKind;
import org.hyssopswitch.load.report.AccountReport;
import org.hyssopswitch.load.report.LoadReport;

/**
 * The measures of one run.
 *
 * @param profile name of the deployment
 * @param fault the fault of the run
 * @param policy name of the policy
 * @param report the run's report
 */
record MeasureRow(String profile, FleetFault fault, String policy, LoadReport report) {

    static final String HEADER =
            """
            | deployment | fault | policy | reads on replicas | longest time without a write, ms | worst-served account | \
            its success | its p99, ms | wrongful refusals | audit breaches | unaudited ledgers |
            |---|---|---|---|---|---|---|---|---|---|---|
            """;

    /** The row of the table; breaches are given by kind. */
    String toMarkdown() {
        AccountReport worst = report.worstServed();
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %.1f %% | %.0f | %s | %.2f %% | %.0f | %d of %d | %s | %d |%n",
                profile,
                fault.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                policy,
                100 * report.replicaReadShare(),
                report.longestFailoverGapMillis(),
                worst.account(),
                100 * worst.successShare(),
                worst.latencyMillis(99),
                report.wrongfulRefusals(),
                report.arrived(),
                breaches(),
                report.unaudited().size());
    }

    private String breaches() {
        StringBuilder text = new StringBuilder();
        for (FindingKind kind : FindingKind.values()) {
            long count = report.breaches().getOrDefault(kind, 0L);
            if (count > 0) {
                text.append(kind.name().toLowerCase(Locale.ROOT))
                        .append(' ')
                        .append(count)
                        .append(' ');
            }
        }
        return text.isEmpty() ? "none" : text.toString().trim();
    }
}
