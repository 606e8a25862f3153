package org.hyssopswitch.load.report;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.load.audit.Finding;
import org.hyssopswitch.load.audit.FindingKind;

/**
 * The result of a load run.
 *
 * @param profile name of the profile
 * @param seed seed of the run
 * @param seconds seconds for which operations arrived
 * @param accounts reports by client account
 * @param readsByRole reads by the role of the endpoint that evaluated them, as the answers say
 * @param failoverGapMillis longest interval without an acknowledged write in milliseconds, by database
 * @param breaches breaches by kind
 * @param findings the first breaches
 * @param unaudited ledgers that could not be read for the audit, as {@code database/account}
 */
public record LoadReport(
        String profile,
        long seed,
        double seconds,
        List<AccountReport> accounts,
        Map<String, Long> readsByRole,
        Map<String, Double> failoverGapMillis,
        Map<FindingKind, Long> breaches,
        List<Finding> findings,
        List<String> unaudited) {

    private static final String REPLICA = "replica";

    /** Copies the collections. */
    public LoadReport {
        accounts = List.copyOf(accounts);
        readsByRole = Map.copyOf(readsByRole);
        failoverGapMillis = Map.copyOf(failoverGapMillis);
        breaches = Map.copyOf(breaches);
        findings = List.copyOf(findings);
        unaudited = List.copyOf(unaudited);
    }

    /** Share of the answered reads that replicas served; 0 when none was answered. */
    public double replicaReadShare() {
        long all = readsByRole.values().stream().mapToLong(Long::longValue).sum();
        return all == 0 ? 0 : (double) readsByRole.getOrDefault(REPLICA, 0L) / all;
    }

    /** Longest failover gap over all databases in milliseconds. */
    public double longestFailoverGapMillis() {
        return failoverGapMillis.values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
    }

    /** The client account with the lowest success share and, among equals, the highest 99th percentile. */
    public AccountReport worstServed() {
        return accounts.stream()
                .min(Comparator.comparingDouble(AccountReport::successShare)
                        .thenComparingDouble(a -> -a.latencyMillis(99)))
                .orElseThrow();
    }

    /** Refusals of operations within rate and burst. */
    public long wrongfulRefusals() {
        return accounts.stream().mapToLong(AccountReport::wrongful).sum();
    }

    /** Operations that arrived. */
    public long arrived() {
        return accounts.stream().mapToLong(AccountReport::arrived).sum();
    }

    /** Whether the audit read every ledger and found no breach. */
    public boolean clean() {
        return breaches.isEmpty() && unaudited.isEmpty();
    }
}
