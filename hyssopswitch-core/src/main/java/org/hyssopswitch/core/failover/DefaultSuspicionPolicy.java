package org.hyssopswitch.core.failover;

import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;

/**
 * Suspects a primary when a majority of its group has lost replication contact with it.
 *
 * <p>Slow responses to statements or status calls do not count as evidence: a replica counts only by the contact age in
 * its own recent report. While the primary still responds to its home, the contact must have been lost for longer,
 * because the fault may then be limited to replication. A primary that is itself unresponsive counts towards the
 * majority if at least one replica has lost contact.
 *
 * <p>A promotion is also required when no VM has reported a primary for a long time, when a fence has been abandoned
 * without a promotion, and when the primary is declared as leaving while responsive replicas that stay form a majority
 * of the group.
 */
public final class DefaultSuspicionPolicy implements SuspicionPolicy {

    private static final int UNKNOWN_PRIMARY_FACTOR = 3;

    private final FailoverSettings settings;

    /**
     * Creates a policy.
     *
     * @param settings timings of the failure detection
     */
    public DefaultSuspicionPolicy(FailoverSettings settings) {
        this.settings = settings;
    }

    @Override
    public RequiredPromotion evaluate(DatabaseDeclaration database, GroupTable table, long nowMillis) {
        List<GroupRow> fresh = table.rows(database).stream()
                .filter(r -> r.isFresh(nowMillis, settings.maxReportAgeMillis()))
                .toList();
        Optional<GroupRow> primary = table.primary(database);
        boolean replace = hasLostContact(database, fresh, primary, nowMillis)
                || isPrimaryUnreported(database, fresh, primary, nowMillis)
                || isLeavingPrimaryReplaceable(database, fresh, primary);
        if (replace) {
            return RequiredPromotion.REPLACE;
        }
        return hasAbandonedFence(fresh, primary, nowMillis) ? RequiredPromotion.REPAIR : RequiredPromotion.NONE;
    }

    private boolean hasLostContact(
            DatabaseDeclaration database, List<GroupRow> fresh, Optional<GroupRow> primary, long nowMillis) {
        boolean responsive = primary.filter(p -> p.isFresh(nowMillis, settings.unresponsivePrimaryContactMillis()))
                .isPresent();
        long threshold =
                responsive ? settings.responsivePrimaryContactMillis() : settings.unresponsivePrimaryContactMillis();
        long term = primary.map(p -> p.status().acceptedTerm()).orElse(0L);
        long lost = fresh.stream()
                .map(GroupRow::status)
                .filter(s -> s.role() == EndpointRole.REPLICA && s.contactAgeMillis() >= threshold)
                .filter(s -> s.acceptedTerm() >= term)
                .count();
        boolean unresponsive = primary.filter(
                        p -> p.unresponsiveMillis() >= settings.unresponsivePrimaryContactMillis())
                .filter(p -> nowMillis - p.receivedMillis() <= settings.maxReportAgeMillis())
                .isPresent();
        return lost >= database.majority() || (unresponsive && lost >= 1 && lost + 1 >= database.majority());
    }

    /**
     * Whether no VM has reported a primary for a long time, so that no VM can reach it even if its replicas can. The
     * timeout is longer for a group of which this VM has never received a report of a primary, since reports may only
     * begin to arrive after a start.
     */
    private boolean isPrimaryUnreported(
            DatabaseDeclaration database, List<GroupRow> fresh, Optional<GroupRow> primary, long nowMillis) {
        long timeoutMillis = primary.isPresent()
                ? settings.unreportedPrimaryMillis()
                : settings.unreportedPrimaryMillis() * UNKNOWN_PRIMARY_FACTOR;
        long others = fresh.stream()
                .filter(r -> !r.isPrimary() && nowMillis - r.roleSinceMillis() >= timeoutMillis)
                .count();
        boolean reported = primary.filter(p -> nowMillis - p.receivedMillis() < timeoutMillis)
                .isPresent();
        return !reported && others >= database.majority();
    }

    private boolean hasAbandonedFence(List<GroupRow> fresh, Optional<GroupRow> primary, long nowMillis) {
        long term = primary.map(p -> p.status().acceptedTerm()).orElse(0L);
        return fresh.stream()
                .filter(r ->
                        r.status().role() == EndpointRole.FENCED && r.status().acceptedTerm() > term)
                .anyMatch(r -> nowMillis - r.roleSinceMillis() >= settings.abandonedFenceMillis());
    }

    private static boolean isLeavingPrimaryReplaceable(
            DatabaseDeclaration database, List<GroupRow> fresh, Optional<GroupRow> primary) {
        boolean leaving = primary.filter(p -> database.endpoints().stream()
                        .anyMatch(e -> e.leaving() && e.id().equals(p.status().endpoint())))
                .isPresent();
        long successors = fresh.stream()
                .map(GroupRow::status)
                .filter(s -> s.role() == EndpointRole.REPLICA && isStaying(database, s))
                .count();
        return leaving && successors >= database.majority();
    }

    private static boolean isStaying(DatabaseDeclaration database, EndpointStatus status) {
        return database.endpoints().stream().anyMatch(e -> !e.leaving() && e.id().equals(status.endpoint()));
    }
}
