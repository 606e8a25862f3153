package org.hyssopswitch.core.failover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.membership.MembershipView;
import org.hyssopswitch.core.placement.HomeResolver;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.session.EndpointHint;
import org.hyssopswitch.core.session.EndpointTable;

/**
 * Polls the endpoints that this VM is the home of, reports them to the homes of the other endpoints of their groups,
 * and makes each endpoint follow the primary of the highest known term.
 *
 * <p>Unused endpoints whose group receives no writes are polled less often, and reports without a change are sent less
 * often. While any endpoint of the group is suspect, both happen at the full rate.
 */
public final class GroupMonitorSystem implements DecisionSystem {

    private static final long STATUS_TIMEOUT_MILLIS = 1_000;
    private static final long FOLLOW_TIMEOUT_MILLIS = 1_000;
    private static final long FOLLOW_PERIOD_MILLIS = 200;

    private final MembershipView view;
    private final HomeResolver homes;
    private final EndpointTable endpoints;
    private final GroupTable groups;
    private final ControlRouter router;
    private final FailoverSettings settings;
    private final RandomGenerator random;
    private final ToIntFunction<EndpointId> load;
    private final Predicate<EndpointId> inUse;
    private final Map<EndpointId, MonitoredEndpoint> monitored = new LinkedHashMap<>();
    private final List<MonitoredEndpoint> ownCellEndpoints = new ArrayList<>();
    private final Set<EndpointId> siblings = new HashSet<>();
    private long placedMembershipVersion = -1;

    /**
     * Creates the system.
     *
     * @param view the membership view of this VM
     * @param homes resolves the homes of endpoints
     * @param endpoints receives the statuses that endpoint selection uses
     * @param groups receives the reports about the groups of this VM
     * @param router makes the control calls
     * @param settings timings of failure detection
     * @param random source of jitter
     * @param load returns the number of statements that this VM runs or queues for an endpoint
     * @param inUse whether some VM sends statements to an endpoint
     */
    public GroupMonitorSystem(
            MembershipView view,
            HomeResolver homes,
            EndpointTable endpoints,
            GroupTable groups,
            ControlRouter router,
            FailoverSettings settings,
            RandomGenerator random,
            ToIntFunction<EndpointId> load,
            Predicate<EndpointId> inUse) {
        this.view = view;
        this.homes = homes;
        this.endpoints = endpoints;
        this.groups = groups;
        this.router = router;
        this.settings = settings;
        this.random = random;
        this.load = load;
        this.inUse = inUse;
    }

    /** Returns the groups in which this VM is the home of an endpoint. */
    public List<DatabaseDeclaration> ownGroups() {
        return monitored.values().stream()
                .map(MonitoredEndpoint::database)
                .distinct()
                .toList();
    }

    /**
     * Whether this VM is the home of an endpoint.
     *
     * @param endpoint the endpoint
     */
    public boolean isHomeOf(EndpointId endpoint) {
        return monitored.containsKey(endpoint);
    }

    /**
     * Stores a status as of now and sends it to the other homes of the group.
     *
     * @param database the group
     * @param status the endpoint's status
     * @param nowMillis milliseconds of the monotonic clock
     * @param out receives the actions to perform
     */
    public void publish(DatabaseDeclaration database, EndpointStatus status, long nowMillis, Outbox out) {
        GroupReport report = new GroupReport(new EndpointHint(status, 0, 0), 0);
        store(report, nowMillis);
        Map<VmAddress, List<GroupReport>> batches = new LinkedHashMap<>();
        addToBatches(database, report, batches);
        send(batches, out);
    }

    @Override
    public void configure(Configuration next, long nowMillis, Outbox out) {
        endpoints.configure(next);
        ownCellEndpoints.clear();
        List<DatabaseDeclaration> databases = new ArrayList<>(next.databases().values());
        databases.sort(Comparator.comparing(DatabaseDeclaration::id));
        for (DatabaseDeclaration database : databases) {
            database.endpoints().stream()
                    .filter(e -> e.cell().equals(view.self().cell()))
                    .forEach(e -> ownCellEndpoints.add(new MonitoredEndpoint(e, database, nowMillis)));
        }
        placedMembershipVersion = -1;
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        if (placedMembershipVersion != view.version()) {
            placedMembershipVersion = view.version();
            updatePlacement();
        }
        Map<VmAddress, List<GroupReport>> batches = new LinkedHashMap<>();
        for (MonitoredEndpoint row : monitored.values()) {
            if (row.isPollDue(nowMillis)) {
                poll(row, nowMillis, out);
            }
            if (row.isReportDue(nowMillis, reportInterval(row, nowMillis))) {
                report(row, nowMillis, batches);
            }
        }
        send(batches, out);
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        if (event instanceof Event.MessageReceived received && received.message() instanceof GroupReports reports) {
            reports.reports().stream()
                    .filter(r -> siblings.contains(r.hint().status().endpoint()))
                    .forEach(r -> onRemoteReport(r, nowMillis));
        }
    }

    /**
     * Stores a report of another home. A report of a primary not yet known triggers an immediate poll of the endpoints
     * of its group.
     */
    private void onRemoteReport(GroupReport report, long nowMillis) {
        EndpointStatus status = report.hint().status();
        boolean known = groups.row(status.endpoint())
                .filter(r -> r.hasSameRoleAndTerm(status))
                .isPresent();
        store(report, nowMillis);
        if (!known && status.role() == EndpointRole.PRIMARY) {
            monitored.values().stream()
                    .filter(m -> m.database().endpoints().stream().anyMatch(e -> e.id().equals(status.endpoint())))
                    .forEach(m -> m.scheduleNextPoll(nowMillis));
        }
    }

    private void updatePlacement() {
        Set<EndpointId> own = new HashSet<>();
        siblings.clear();
        for (MonitoredEndpoint row : ownCellEndpoints) {
            EndpointDeclaration endpoint = row.endpoint();
            if (homes.homes(endpoint).stream()
                    .findFirst()
                    .filter(view.self()::equals)
                    .isPresent()) {
                own.add(endpoint.id());
                row.database().endpoints().forEach(e -> siblings.add(e.id()));
                monitored.merge(endpoint.id(), row, MonitoredEndpoint::updateDeclaration);
            }
        }
        monitored.keySet().retainAll(own);
        groups.retain(siblings);
    }

    private void poll(MonitoredEndpoint row, long nowMillis, Outbox out) {
        row.recordPollSent(nowMillis);
        ControlCallback callback = (outcome, now, outbox) -> onPollOutcome(row, outcome, now, outbox);
        router.call(row.endpoint(), new ControlRequest.Status(), STATUS_TIMEOUT_MILLIS, 0, callback, nowMillis, out);
    }

    private void onPollOutcome(MonitoredEndpoint row, ControlOutcome outcome, long nowMillis, Outbox out) {
        row.recordPollOutcome(outcome.status(), nowMillis, settings.suspectContactMillis());
        row.scheduleNextPoll(nowMillis + jittered(pollInterval(row, nowMillis)));
        if (outcome.status().isPresent()) {
            follow(row, outcome.status().get(), nowMillis, out);
        }
    }

    private void report(MonitoredEndpoint row, long nowMillis, Map<VmAddress, List<GroupReport>> batches) {
        row.takeReport(nowMillis, load.applyAsInt(row.endpoint().id())).ifPresent(report -> {
            store(report, nowMillis);
            addToBatches(row.database(), report, batches);
        });
    }

    private void addToBatches(
            DatabaseDeclaration database, GroupReport report, Map<VmAddress, List<GroupReport>> batches) {
        Set<VmAddress> targets = new HashSet<>();
        for (EndpointDeclaration sibling : database.endpoints()) {
            homes.homes(sibling).stream().findFirst().ifPresent(targets::add);
        }
        targets.remove(view.self());
        targets.forEach(t -> batches.computeIfAbsent(t, v -> new ArrayList<>()).add(report));
    }

    private static void send(Map<VmAddress, List<GroupReport>> batches, Outbox out) {
        batches.forEach((to, reports) -> out.add(new Action.SendMessage(to, new GroupReports(reports))));
    }

    private void store(GroupReport report, long nowMillis) {
        groups.update(report, nowMillis);
        endpoints.observe(report.hint(), nowMillis);
    }

    /**
     * Makes the endpoint follow the known primary if that is of a higher term, or of the term at which the endpoint was
     * fenced.
     */
    private void follow(MonitoredEndpoint row, EndpointStatus status, long nowMillis, Outbox out) {
        Optional<EndpointStatus> primary = groups.primary(row.database()).map(GroupRow::status);
        if (primary.isEmpty() || primary.get().endpoint().equals(status.endpoint())) {
            return;
        }
        long term = primary.get().acceptedTerm();
        boolean behind =
                status.acceptedTerm() < term || (status.acceptedTerm() == term && status.role() == EndpointRole.FENCED);
        if (behind && row.tryFollow(nowMillis, FOLLOW_PERIOD_MILLIS)) {
            ControlRequest request =
                    new ControlRequest.Follow(term, primary.get().endpoint());
            ControlCallback callback = (outcome, now, outbox) -> row.scheduleNextPoll(now);
            router.call(row.endpoint(), request, FOLLOW_TIMEOUT_MILLIS, 0, callback, nowMillis, out);
        }
    }

    /**
     * Returns the poll interval: short while the endpoint is in use or has advanced recently, or while any endpoint of
     * its group is suspect.
     */
    private long pollInterval(MonitoredEndpoint row, long nowMillis) {
        boolean used = row.isActive(nowMillis) || inUse.test(row.endpoint().id());
        return used || isGroupSuspect(row, nowMillis) ? settings.activePollMillis() : settings.idlePollMillis();
    }

    /**
     * Returns the interval of unchanged reports: short only while the group is suspect, to limit traffic between VMs.
     */
    private long reportInterval(MonitoredEndpoint row, long nowMillis) {
        return isGroupSuspect(row, nowMillis) ? settings.activePollMillis() : settings.idlePollMillis();
    }

    private boolean isGroupSuspect(MonitoredEndpoint row, long nowMillis) {
        return groups.rows(row.database()).stream().anyMatch(r -> isSuspect(r, nowMillis));
    }

    private boolean isSuspect(GroupRow row, long nowMillis) {
        return row.unresponsiveMillis() > 0
                || row.status().role() == EndpointRole.FENCED
                || row.status().contactAgeMillis() >= settings.suspectContactMillis()
                || nowMillis - row.receivedMillis() > settings.idlePollMillis() + settings.suspectContactMillis();
    }

    private long jittered(long millis) {
        return millis * 3 / 4 + random.nextLong(Math.max(1, millis / 2));
    }
}
