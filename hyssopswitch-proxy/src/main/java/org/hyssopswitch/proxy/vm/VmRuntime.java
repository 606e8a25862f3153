package org.hyssopswitch.proxy.vm;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.drain.StopSchedule;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.peer.GrizzlyPeerTransport;
import org.hyssopswitch.peer.MessageRegistry;
import org.hyssopswitch.peer.PeerListener;
import org.hyssopswitch.platform.PlatformClient;
import org.hyssopswitch.proxy.entry.EntryCollaborators;
import org.hyssopswitch.proxy.entry.EntryService;
import org.hyssopswitch.proxy.home.HomeCollaborators;
import org.hyssopswitch.proxy.home.HomeOptions;
import org.hyssopswitch.proxy.home.HomeService;
import org.hyssopswitch.proxy.net.DefaultDecisionLoop;
import org.hyssopswitch.proxy.net.GrizzlyNetwork;
import org.hyssopswitch.proxy.operations.OperationsServer;

/** One running VM. */
public final class VmRuntime implements AutoCloseable {

    private static final Logger LOG = LogManager.getLogger(VmRuntime.class);
    private static final long HOME_TICK_MILLIS = 100;
    private static final long MIN_DRAIN_MILLIS = 500;
    private static final long DRAIN_CHECK_MILLIS = 20;
    private static final long REGISTER_RETRY_MILLIS = 1_000;

    private final VmOptions options;
    private final DefaultDecisionLoop loop;
    private final GrizzlyNetwork network;
    private final GrizzlyPeerTransport transport;
    private final VmCore core;
    private final VmDriver driver;
    private final EntryService entry;
    private final HomeService home;
    private final MetricRegistry metrics;
    private final PlatformClient platform;
    private final RandomGenerator random = new SplittableRandom();
    private final AtomicReference<PeerListener> inbox = new AtomicReference<>(new NoListener());
    private Option<OperationsServer> operations = Option.none();
    private volatile boolean ready;
    private volatile boolean configured;
    private volatile boolean closed;
    private int callerPort;

    /**
     * Assembles a VM and binds its peer listener; {@link #start} starts it.
     *
     * @param options how the VM runs
     * @param messages the messages between VMs
     * @param platform the platform
     * @param cores creates the VM's decisions
     * @param metrics registry of its metrics
     * @throws HyssopException if the network cannot be used
     */
    public VmRuntime(
            VmOptions options,
            MessageRegistry messages,
            PlatformClient platform,
            VmCoreFactory cores,
            MetricRegistry metrics) {
        this.options = options;
        this.metrics = metrics;
        this.platform = platform;
        loop = new DefaultDecisionLoop("decisions-" + options.peer().vm());
        network = openNetwork();
        transport = new GrizzlyPeerTransport(
                options.peer(), messages, new Inbox(), metrics, new SplittableRandom(), loop::nowMillis);
        AtomicReference<HomeService> homes = new AtomicReference<>();
        core = cores.create(transport.self(), e -> load(homes.get(), e));
        AtomicReference<Consumer<Event>> events = new AtomicReference<>(e -> {});
        PlatformCalls calls =
                new PlatformCalls(platform, loop, e -> events.get().accept(e));
        driver = new VmDriver(loop, core.engine(), transport.self(), transport, calls);
        events.set(driver::handle);
        entry = createEntry();
        home = createHome();
        homes.set(home);
        driver.attach(entry, home);
    }

    /**
     * Starts to decide and to take callers.
     *
     * @throws HyssopException if the callers' address cannot be used
     */
    public void start() {
        inbox.set(new DriverListener());
        loop.execute(this::tick);
        loop.execute(this::tickHome);
        loop.execute(this::register);
        try {
            callerPort =
                    network.listen(options.caller().host(), options.caller().port(), entry::accept);
        } catch (IOException e) {
            throw new HyssopException(
                    "cannot listen for callers on " + options.caller().host() + ":"
                            + options.caller().port(),
                    e);
        }
        operations = Option.some(new OperationsServer(
                options.operations().host(),
                options.operations().port(),
                new VmStatus(loop, this::ready, this::status),
                metrics));
        ready = true;
        LOG.info("event=vm_started vm={} caller_port={} operations_port={}", self().vm(), callerPort, operationsPort());
    }

    /** Milliseconds of the monotonic clock that all VMs of this process share. */
    public static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** The address of the VM, with the port of its peer listener. */
    public VmAddress self() {
        return transport.self();
    }

    /** The port on which callers connect. */
    public int callerPort() {
        return callerPort;
    }

    /** The port of the operations listener; 0 before the start. */
    public int operationsPort() {
        return operations.map(OperationsServer::port).getOrElse(0);
    }

    /** Tells whether the VM takes new callers. */
    public boolean ready() {
        return ready && !closed && configured;
    }

    /** The metrics. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /**
     * Ends the VM without cutting a request: takes no new callers, ends sessions at their transaction boundaries, hands
     * back what it holds, then closes.
     *
     * @return completes when the VM is closed; whether everything ended within the limit
     */
    public CompletionStage<Boolean> shutdown() {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        ready = false;
        network.stopListening();
        loop.execute(() -> {
            LOG.info("event=vm_draining vm={} callers={}", self().vm(), entry.connections());
            entry.drain();
            core.departure().begin();
            long now = loop.nowMillis();
            awaitDrained(now, StopSchedule.of(options.drainMillis(), 0, 0), done);
        });
        return done;
    }

    /** Ends the VM at once; open transactions are rolled back. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        ready = false;
        inbox.set(new NoListener());
        network.stopListening();
        loop.execute(home::close);
        loop.close();
        transport.close();
        network.close();
        operations.forEach(OperationsServer::close);
    }

    private GrizzlyNetwork openNetwork() {
        try {
            return new GrizzlyNetwork(loop, options.tls());
        } catch (IOException e) {
            throw new HyssopException("cannot start the network", e);
        }
    }

    private EntryService createEntry() {
        return new EntryService(
                loop,
                transport.self(),
                options.callers(),
                new EntryCollaborators(
                        core.engine()::configuration,
                        core.freshness(),
                        core.limiter(),
                        core.selector(),
                        (ticket, database, deadline) ->
                                core.floors().request(ticket, database, deadline, loop.nowMillis(), driver::defer),
                        core.resolver(),
                        core.retries(),
                        driver::send,
                        metrics));
    }

    private HomeService createHome() {
        return new HomeService(
                loop,
                network,
                new HomeOptions(transport.self(), options.users(), random),
                new HomeCollaborators(
                        core.resolver(),
                        core.queues(),
                        core.confirmer(),
                        driver::defer,
                        driver::send,
                        core.endpoints()::observeApplied,
                        e -> core.endpoints().successor(e).isPresent()));
    }

    private Map<String, Object> status() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("vm", self().vm().value());
        report.put("incarnation", self().incarnation());
        report.put("dataCentre", self().dataCentre().value());
        report.put("ready", ready());
        report.put("callers", entry.connections());
        report.put("streams", entry.streams());
        report.put("homes", home.statuses().stream().map(VmStatus::describe).toList());
        report.putAll(core.status().get());
        return report;
    }

    private static int load(HomeService service, EndpointId endpoint) {
        return service == null ? 0 : service.streamCount(endpoint);
    }

    private void tick() {
        if (!closed) {
            loop.schedule(options.tickMillis(), this::tick);
            driver.tick();
            configured = core.ready().get();
        }
    }

    /** Enters the VM into the platform's list; the VM serves also while the platform is away. */
    private void register() {
        if (closed) {
            return;
        }
        CompletionStage<Void> unused = platform.register(self())
                .thenAcceptAsync(
                        result -> result.peekLeft(f -> {
                            LOG.info("event=vm_register_failed reason=\"{}\"", f.describe());
                            loop.schedule(
                                    REGISTER_RETRY_MILLIS + random.nextLong(REGISTER_RETRY_MILLIS), this::register);
                        }),
                        loop);
    }

    private void tickHome() {
        if (!closed) {
            loop.schedule(HOME_TICK_MILLIS, this::tickHome);
            home.tick();
        }
    }

    private void awaitDrained(long startMillis, StopSchedule schedule, CompletableFuture<Boolean> done) {
        long elapsed = loop.nowMillis() - startMillis;
        if (schedule.endsTransactions(elapsed)) {
            entry.endTransactions();
        }
        boolean idle =
                entry.connections() == 0 && home.isIdle() && core.departure().done();
        if ((idle && elapsed >= MIN_DRAIN_MILLIS) || schedule.isOver(elapsed)) {
            LOG.info("event=vm_drained vm={} complete={}", self().vm(), idle);
            // The loop cannot wait for its own end.
            Thread closer = new Thread(
                    () -> {
                        close();
                        done.complete(idle);
                    },
                    "vm-close");
            closer.start();
        } else {
            loop.schedule(DRAIN_CHECK_MILLIS, () -> awaitDrained(startMillis, schedule, done));
        }
    }

    /** Passes on to the listener of the moment; links may open before the VM is assembled. */
    private final class Inbox implements PeerListener {

        @Override
        public void messageReceived(VmAddress from, PeerMessage message) {
            inbox.get().messageReceived(from, message);
        }

        @Override
        public void linkFailed(VmAddress to) {
            inbox.get().linkFailed(to);
        }
    }

    private final class DriverListener implements PeerListener {

        @Override
        public void messageReceived(VmAddress from, PeerMessage message) {
            loop.execute(() -> driver.messageReceived(from, message));
        }

        @Override
        public void linkFailed(VmAddress to) {
            loop.execute(() -> driver.linkFailed(to));
        }
    }

    private static final class NoListener implements PeerListener {

        @Override
        public void messageReceived(VmAddress from, PeerMessage message) {}

        @Override
        public void linkFailed(VmAddress to) {}
    }
}
