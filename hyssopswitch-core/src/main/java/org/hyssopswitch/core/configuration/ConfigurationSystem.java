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
 * Distributes accepted configurations: the relays of a cell watch the platform and announce a new version to their
 * cell; every VM also queries a random member periodically and fetches the subtrees that it lacks.
 *
 * <p>The configuration's version is the highest version of any team's object. All objects up to it form a complete
 * configuration, because the platform numbers all updates in a total order. A VM applies only complete and higher
 * versions and persists nothing.
 */
public final class ConfigurationSystem implements DecisionSystem, ConfigurationStatus {

    private static final int MAX_PENDING_QUERIES = 128;
    private static final long MAX_OTHER_CELLS_DELAY_MILLIS = 500;
    private static final long NEVER_CONFIRMED = Long.MIN_VALUE;

    private final ConfigurationSettings settings;
    private final SubtreeDecoder decoder;
    private final RandomGenerator random;
    private final RelayRanking ranking;
    private final SubtreeStore store;
    private final PlatformWatch watch;
    private final SubtreeFetcher fetcher;
    private final StartupGate gate;
    private final ByteRateLimiter pageLimiter;
    private final CellReporter reporter;
    private final Map<TeamId, TeamConfiguration> teams = new HashMap<>();
    private final Map<TeamId, Failure> rejected = new HashMap<>();
    private final Map<Long, Long> pendingQueries = new LinkedHashMap<>();
    private List<CellId> configuredCells = List.of();
    private long confirmedMillis = NEVER_CONFIRMED;
    private long querySequence;
    private long nextQueryMillis;
    private long nextFallbackMillis;

    /**
     * Creates the system.
     *
     * @param view the membership view of this VM
     * @param decoder decodes the values of teams' objects
     * @param settings intervals, timeouts and limits
     * @param callNumbers supplies call numbers that are unique within this VM
     * @param random source of randomness
     */
    public ConfigurationSystem(
            MembershipView view,
            SubtreeDecoder decoder,
            ConfigurationSettings settings,
            LongSupplier callNumbers,
            RandomGenerator random) {
        this.settings = settings;
        this.decoder = decoder;
        this.random = random;
        this.ranking = new RelayRanking(view, random);
        this.store = new SubtreeStore(settings.maxOlderBytes());
        this.watch = new PlatformWatch(settings, callNumbers, random);
        this.fetcher = new SubtreeFetcher(store, settings, random);
        this.gate = new StartupGate(settings.answerTimeoutMillis());
        this.reporter = new CellReporter(view.self(), callNumbers);
        this.pageLimiter = new ByteRateLimiter(settings.serveBytesPerSecond());
    }

    @Override
    public long version() {
        return store.version();
    }

    @Override
    public long highestKnownVersion() {
        return Math.max(store.version(), fetcher.highestAnnouncedVersion());
    }

    @Override
    public long ageMillis(long nowMillis) {
        return confirmedMillis == NEVER_CONFIRMED ? Long.MAX_VALUE : Math.max(0, nowMillis - confirmedMillis);
    }

    @Override
    public boolean isReady() {
        return gate.isReady();
    }

    @Override
    public Map<TeamId, Failure> rejectedTeams() {
        return Map.copyOf(rejected);
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        gate.start(nowMillis);
        boolean isRelay = ranking.isRelay(settings.relaysPerCell());
        if (isRelay && gate.mayWatch(store.version(), nowMillis)) {
            watch.openIfDue(store.version(), nowMillis, out);
        }
        if (!gate.isReady()) {
            gate.markQueried(ranking.otherMembers(), nowMillis).forEach(m -> sendQuery(m, nowMillis, out));
        }
        sendQueryIfDue(nowMillis, out);
        fallBackIfDue(isRelay, nowMillis, out);
        fetcher.tick(nowMillis, out);
        gate.updateReadiness(store.version(), fetcher.isBehind(), ageMillis(nowMillis), nowMillis);
        reporter.tick(ranking.isRelay(1), store.version(), ranking.otherMembers(), nowMillis, out);
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        if (event instanceof Event.PrefixWatchCompleted answered && watch.closeCall(answered.call())) {
            answered.result()
                    .peek(changes -> handleChanges(changes, nowMillis, out))
                    .peekLeft(failure -> watch.recordFailure(failure, nowMillis));
        } else if (event instanceof Event.ObjectCallCompleted answered) {
            reporter.handleAnswer(answered.call(), answered.result(), nowMillis);
        } else if (event instanceof Event.MessageReceived received) {
            handleMessage(received.from(), received.message(), nowMillis, out);
        } else if (event instanceof Event.LinkFailed failed) {
            fetcher.removeSource(failed.to());
            gate.markAnswered(failed.to());
        }
    }

    private void handleMessage(VmAddress from, PeerMessage message, long nowMillis, Outbox out) {
        if (message instanceof ConfigurationQuery query) {
            out.add(new Action.SendMessage(from, createAnnouncement(query.sequence(), nowMillis)));
            recordPeerVersion(from, query.version(), nowMillis, out);
        } else if (message instanceof ConfigurationAnnouncement announcement) {
            handleAnnouncement(from, announcement, nowMillis, out);
        } else if (message instanceof ConfigurationRequest request) {
            sendPage(from, request, nowMillis, out);
        } else if (message instanceof ConfigurationPage page) {
            fetcher.handlePage(from, page, nowMillis, out)
                    .forEach(w -> applyVersion(w.subtrees(), w.version(), nowMillis, out));
        }
    }

    private void recordPeerVersion(VmAddress from, long version, long nowMillis, Outbox out) {
        reporter.recordVersion(from, version);
        if (version > store.version()) {
            fetcher.recordVersion(from, version);
            fetcher.tick(nowMillis, out);
        }
    }

    /** A confirmation counts from the sending of the query, however long the answer was in flight. */
    private void handleAnnouncement(
            VmAddress from, ConfigurationAnnouncement announcement, long nowMillis, Outbox out) {
        Long querySentMillis = pendingQueries.remove(announcement.sequence());
        recordPeerVersion(from, announcement.version(), nowMillis, out);
        if (querySentMillis == null) {
            return;
        }
        gate.markAnswered(from);
        if (announcement.ageMillis() >= 0 && announcement.version() <= store.version() && store.version() > 0) {
            confirmedMillis = Math.max(confirmedMillis, querySentMillis - announcement.ageMillis());
        }
    }

    private void sendPage(VmAddress from, ConfigurationRequest request, long nowMillis, Outbox out) {
        long busyMillis = pageLimiter.waitMillis(nowMillis);
        if (busyMillis > 0) {
            out.add(new Action.SendMessage(
                    from, new ConfigurationPage(request.sequence(), 0, store.version(), List.of(), busyMillis)));
            return;
        }
        ConfigurationPage page = store.createPage(request, settings.pageBytes());
        pageLimiter.consume(
                page.changes().stream().mapToLong(c -> c.encoded().length).sum());
        out.add(new Action.SendMessage(from, page));
    }

    private void handleChanges(PrefixChanges changes, long nowMillis, Outbox out) {
        watch.recordSuccess();
        confirmedMillis = Math.max(confirmedMillis, watch.lastSentMillis());
        long version = changes.objects().stream()
                .mapToLong(StoredObject::version)
                .max()
                .orElse(0);
        if (version > store.version()) {
            fetcher.reset();
            applyVersion(subtrees(changes), version, nowMillis, out);
            ConfigurationAnnouncement announcement = createAnnouncement(0, nowMillis);
            ranking.otherMembers().forEach(m -> out.add(new Action.SendMessage(m, announcement)));
        }
        if (ranking.isRelay(settings.relaysPerCell())) {
            watch.openIfDue(store.version(), nowMillis, out);
        }
    }

    private static List<Subtree> subtrees(PrefixChanges changes) {
        List<Subtree> result = new ArrayList<>();
        for (StoredObject object : changes.objects()) {
            parseTeam(object.path()).forEach(t -> result.add(new Subtree(t, object.version(), object.value())));
        }
        return result;
    }

    /** Returns the team of an object, or an empty list if the path does not name a team. */
    private static List<TeamId> parseTeam(String path) {
        try {
            return List.of(new TeamId(path.substring(PlatformWatch.TEAMS_PATH_PREFIX.length())));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return List.of();
        }
    }

    private void applyVersion(Collection<Subtree> subtrees, long version, long nowMillis, Outbox out) {
        if (version <= store.version()) {
            return;
        }
        store.apply(subtrees, version).forEach(this::decodeSubtree);
        Configuration configuration = new Configuration(version, teams);
        configuredCells = configuration.databases().values().stream()
                .flatMap(d -> d.endpoints().stream())
                .map(EndpointDeclaration::cell)
                .distinct()
                .toList();
        out.add(new Action.ApplyConfiguration(configuration));
        if (!gate.isReady()) {
            // The configuration lists the other cells, so they are queried soon rather than at the next regular
            // interval.
            nextFallbackMillis =
                    Math.min(nextFallbackMillis, nowMillis + random.nextLong(MAX_OTHER_CELLS_DELAY_MILLIS));
        }
        announceToReporter(nowMillis, out);
        gate.updateReadiness(version, fetcher.isBehind(), ageMillis(nowMillis), nowMillis);
    }

    /** Announces the version to the reporter of the cell, so that the report need not wait for the next query. */
    private void announceToReporter(long nowMillis, Outbox out) {
        ConfigurationAnnouncement announcement = createAnnouncement(0, nowMillis);
        ranking.topRanked(1).stream()
                .filter(r -> !r.equals(ranking.self()))
                .forEach(r -> out.add(new Action.SendMessage(r, announcement)));
    }

    private void decodeSubtree(Subtree subtree) {
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

    private ConfigurationAnnouncement createAnnouncement(long sequence, long nowMillis) {
        long age = ageMillis(nowMillis);
        return new ConfigurationAnnouncement(sequence, store.version(), age == Long.MAX_VALUE ? -1 : age);
    }

    private void sendQueryIfDue(long nowMillis, Outbox out) {
        if (nowMillis < nextQueryMillis) {
            return;
        }
        nextQueryMillis = nowMillis + jitter(settings.queryIntervalMillis());
        List<VmAddress> others = ranking.otherMembers();
        if (!others.isEmpty()) {
            sendQuery(others.get(random.nextInt(others.size())), nowMillis, out);
        }
    }

    private void sendQuery(VmAddress member, long nowMillis, Outbox out) {
        querySequence++;
        pendingQueries.put(querySequence, nowMillis);
        if (pendingQueries.size() > MAX_PENDING_QUERIES) {
            pendingQueries.remove(pendingQueries.keySet().iterator().next());
        }
        out.add(new Action.SendMessage(member, new ConfigurationQuery(querySequence, store.version())));
    }

    /**
     * While the relays of the cell do not confirm the version, the other VMs watch the platform at a rate that is
     * limited per cell, and relays query other cells. A starting VM does both unless it is a relay, which watches the
     * platform anyway.
     */
    private void fallBackIfDue(boolean isRelay, long nowMillis, Outbox out) {
        boolean starting = gate.shouldQueryPlatform(ageMillis(nowMillis), nowMillis);
        boolean stale = gate.isReady() && ageMillis(nowMillis) > settings.staleAfterMillis();
        if ((!starting && !stale) || nowMillis < nextFallbackMillis) {
            return;
        }
        int members = ranking.otherMembers().size() + 1;
        nextFallbackMillis = nowMillis + jitter(settings.fallbackIntervalMillis() * (isRelay ? 1 : members));
        if (!isRelay) {
            watch.openIfDue(store.version(), nowMillis, out);
        }
        if (isRelay || starting) {
            ranking.chooseMemberOfOtherCell(configuredCells).forEach(m -> sendQuery(m, nowMillis, out));
        }
    }

    private long jitter(long millis) {
        return millis / 2 + random.nextLong(millis + 1);
    }
}
