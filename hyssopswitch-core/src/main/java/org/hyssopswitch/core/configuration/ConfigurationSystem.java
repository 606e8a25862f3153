package org.hyssopswitch.core.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.membership.MembershipView;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Spreads accepted configurations: the relays of a cell watch the platform and announce a new version to their cell;
 * every VM also asks a random member now and then, and pulls the subtrees that it lacks.
 *
 * <p>The version is the highest version of a team's object. All objects up to it make one whole configuration, because
 * the platform numbers all updates in one order. A VM applies only whole and higher versions and persists nothing.
 */
public final class ConfigurationSystem implements DecisionSystem, ConfigurationStatus {

    private static final int MAX_PENDING_QUERIES = 128;
    private static final long ELSEWHERE_DELAY_MILLIS = 500;
    private static final long NEVER = Long.MIN_VALUE;

    private final ConfigurationSettings settings;
    private final SubtreeDecoder decoder;
    private final RandomGenerator random;
    private final RelayRanking ranking;
    private final SubtreeStore store;
    private final PlatformWatch watch;
    private final CatchUp catchUp;
    private final StartupGate gate;
    private final ByteBudget budget;
    private final CellReporter reporter;
    private final Map<TeamId, TeamConfiguration> teams = new HashMap<>();
    private final Map<TeamId, Failure> rejected = new HashMap<>();
    private final Map<Long, Long> queries = new LinkedHashMap<>();
    private List<CellId> cells = List.of();
    private long confirmedMillis = NEVER;
    private long querySequence;
    private long nextQueryMillis;
    private long nextFallbackMillis;

    /**
     * Creates the system.
     *
     * @param view the VMs that this one knows
     * @param decoder reads the values of teams' objects
     * @param settings times and bounds
     * @param numbers numbers calls uniquely within this VM
     * @param random source of randomness
     */
    public ConfigurationSystem(
            MembershipView view,
            SubtreeDecoder decoder,
            ConfigurationSettings settings,
            LongSupplier numbers,
            RandomGenerator random) {
        this.settings = settings;
        this.decoder = decoder;
        this.random = random;
        this.ranking = new RelayRanking(view, random);
        this.store = new SubtreeStore(settings.olderBytes());
        this.watch = new PlatformWatch(settings, numbers, random);
        this.catchUp = new CatchUp(store, settings, random);
        this.gate = new StartupGate(settings.answerTimeoutMillis());
        this.reporter = new CellReporter(view.self(), numbers);
        this.budget = new ByteBudget(settings.serveBytesPerSecond());
    }

    @Override
    public long version() {
        return store.version();
    }

    @Override
    public long highestKnownVersion() {
        return Math.max(store.version(), catchUp.highest());
    }

    @Override
    public long ageMillis(long nowMillis) {
        return confirmedMillis == NEVER ? Long.MAX_VALUE : Math.max(0, nowMillis - confirmedMillis);
    }

    @Override
    public boolean isReady() {
        return gate.isReady();
    }

    @Override
    public Map<TeamId, Failure> rejected() {
        return Map.copyOf(rejected);
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        gate.start(nowMillis);
        boolean relay = ranking.isRelay(settings.relays());
        if (relay && gate.mayWatch(store.version(), nowMillis)) {
            watch.open(store.version(), nowMillis, out);
        }
        if (!gate.isReady()) {
            gate.toAsk(ranking.others(), nowMillis).forEach(m -> query(m, nowMillis, out));
        }
        queryIfDue(nowMillis, out);
        fallBackIfDue(relay, nowMillis, out);
        catchUp.tick(nowMillis, out);
        gate.update(store.version(), catchUp.isBehind(), ageMillis(nowMillis), nowMillis);
        reporter.tick(ranking.isRelay(1), store.version(), ranking.others(), nowMillis, out);
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        if (event instanceof Event.PrefixWatchCompleted answered && watch.take(answered.call())) {
            answered.result()
                    .peek(changes -> takeChanges(changes, nowMillis, out))
                    .peekLeft(failure -> watch.failed(failure, nowMillis));
        } else if (event instanceof Event.ObjectCallCompleted answered) {
            reporter.take(answered.call(), answered.result(), nowMillis);
        } else if (event instanceof Event.MessageReceived received) {
            receive(received.from(), received.message(), nowMillis, out);
        } else if (event instanceof Event.LinkFailed failed) {
            catchUp.linkFailed(failed.to());
            gate.done(failed.to());
        }
    }

    private void receive(VmAddress from, PeerMessage message, long nowMillis, Outbox out) {
        if (message instanceof ConfigurationQuery query) {
            out.add(new Action.SendMessage(from, announcement(query.sequence(), nowMillis)));
            hear(from, query.version(), nowMillis, out);
        } else if (message instanceof ConfigurationAnnouncement announcement) {
            takeAnnouncement(from, announcement, nowMillis, out);
        } else if (message instanceof ConfigurationRequest request) {
            serve(from, request, nowMillis, out);
        } else if (message instanceof ConfigurationPage page) {
            catchUp.take(from, page, nowMillis, out).forEach(w -> apply(w.subtrees(), w.version(), nowMillis, out));
        }
    }

    private void hear(VmAddress from, long version, long nowMillis, Outbox out) {
        reporter.saw(from, version);
        if (version > store.version()) {
            catchUp.heard(from, version);
            catchUp.tick(nowMillis, out);
        }
    }

    /** An answer confirms what it says as of the time of the question, however long it was under way. */
    private void takeAnnouncement(VmAddress from, ConfigurationAnnouncement announcement, long nowMillis, Outbox out) {
        Long askedMillis = queries.remove(announcement.sequence());
        hear(from, announcement.version(), nowMillis, out);
        if (askedMillis == null) {
            return;
        }
        gate.done(from);
        if (announcement.ageMillis() >= 0 && announcement.version() <= store.version() && store.version() > 0) {
            confirmedMillis = Math.max(confirmedMillis, askedMillis - announcement.ageMillis());
        }
    }

    private void serve(VmAddress from, ConfigurationRequest request, long nowMillis, Outbox out) {
        long busyMillis = budget.waitMillis(nowMillis);
        if (busyMillis > 0) {
            out.add(new Action.SendMessage(
                    from, new ConfigurationPage(request.sequence(), 0, store.version(), List.of(), busyMillis)));
            return;
        }
        ConfigurationPage page = store.page(request, settings.pageBytes());
        budget.spend(page.changes().stream().mapToLong(c -> c.encoded().length).sum());
        out.add(new Action.SendMessage(from, page));
    }

    private void takeChanges(PrefixChanges changes, long nowMillis, Outbox out) {
        watch.succeeded();
        confirmedMillis = Math.max(confirmedMillis, watch.sentMillis());
        long version = changes.objects().stream()
                .mapToLong(StoredObject::version)
                .max()
                .orElse(0);
        if (version > store.version()) {
            catchUp.restart();
            apply(subtrees(changes), version, nowMillis, out);
            ConfigurationAnnouncement announcement = announcement(0, nowMillis);
            ranking.others().forEach(m -> out.add(new Action.SendMessage(m, announcement)));
        }
        if (ranking.isRelay(settings.relays())) {
            watch.open(store.version(), nowMillis, out);
        }
    }

    private static List<Subtree> subtrees(PrefixChanges changes) {
        List<Subtree> result = new ArrayList<>();
        for (StoredObject object : changes.objects()) {
            teamOf(object.path()).forEach(t -> result.add(new Subtree(t, object.version(), object.value())));
        }
        return result;
    }

    /** The team of an object, or nothing when the object is not one of ours. */
    private static List<TeamId> teamOf(String path) {
        try {
            return List.of(new TeamId(path.substring(PlatformWatch.PREFIX.length())));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return List.of();
        }
    }

    private void apply(Collection<Subtree> subtrees, long version, long nowMillis, Outbox out) {
        if (version <= store.version()) {
            return;
        }
        store.apply(subtrees, version).forEach(this::decode);
        Configuration configuration = new Configuration(version, teams);
        cells = configuration.databases().values().stream()
                .flatMap(d -> d.endpoints().stream())
                .map(EndpointDeclaration::cell)
                .distinct()
                .toList();
        out.add(new Action.ApplyConfiguration(configuration));
        if (!gate.isReady()) {
            // The cells are known now; those elsewhere are asked soon, not at the next regular time.
            nextFallbackMillis = Math.min(nextFallbackMillis, nowMillis + random.nextLong(ELSEWHERE_DELAY_MILLIS));
        }
        reportApplied(nowMillis, out);
        gate.update(version, catchUp.isBehind(), ageMillis(nowMillis), nowMillis);
    }

    /** Tells the VM that reports for the cell, so that operators need not wait for the next query. */
    private void reportApplied(long nowMillis, Outbox out) {
        ConfigurationAnnouncement announcement = announcement(0, nowMillis);
        ranking.first(1).stream()
                .filter(r -> !r.equals(ranking.self()))
                .forEach(r -> out.add(new Action.SendMessage(r, announcement)));
    }

    private void decode(Subtree subtree) {
        rejected.remove(subtree.team());
        if (subtree.value().length == 0) {
            teams.remove(subtree.team());
            return;
        }
        Either<? extends Failure, TeamConfiguration> result =
                decoder.decode(subtree.team(), subtree.version(), subtree.value());
        result.peek(t -> teams.put(subtree.team(), t));
        result.peekLeft(f -> rejected.put(subtree.team(), f));
    }

    private ConfigurationAnnouncement announcement(long sequence, long nowMillis) {
        long age = ageMillis(nowMillis);
        return new ConfigurationAnnouncement(sequence, store.version(), age == Long.MAX_VALUE ? -1 : age);
    }

    private void queryIfDue(long nowMillis, Outbox out) {
        if (nowMillis < nextQueryMillis) {
            return;
        }
        nextQueryMillis = nowMillis + jittered(settings.queryMillis());
        List<VmAddress> others = ranking.others();
        if (!others.isEmpty()) {
            query(others.get(random.nextInt(others.size())), nowMillis, out);
        }
    }

    private void query(VmAddress member, long nowMillis, Outbox out) {
        querySequence++;
        queries.put(querySequence, nowMillis);
        if (queries.size() > MAX_PENDING_QUERIES) {
            queries.remove(queries.keySet().iterator().next());
        }
        out.add(new Action.SendMessage(member, new ConfigurationQuery(querySequence, store.version())));
    }

    /**
     * When the relays of the cell do not confirm the version, the others ask the platform at a rate that is bounded for
     * the cell, and relays ask other cells.
     */
    private void fallBackIfDue(boolean relay, long nowMillis, Outbox out) {
        boolean starting = gate.wantsPlatform(ageMillis(nowMillis), nowMillis);
        boolean stale = gate.isReady() && ageMillis(nowMillis) > settings.staleMillis();
        if ((!starting && !stale) || nowMillis < nextFallbackMillis) {
            return;
        }
        int members = ranking.others().size() + 1;
        nextFallbackMillis = nowMillis + jittered(settings.fallbackMillis() * (relay ? 1 : members));
        if (!relay) {
            watch.open(store.version(), nowMillis, out);
        }
        if (relay || starting) {
            ranking.elsewhere(cells).forEach(m -> query(m, nowMillis, out));
        }
    }

    private long jittered(long millis) {
        return millis / 2 + random.nextLong(millis + 1);
    }
}
