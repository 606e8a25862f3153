package org.hyssopswitch.app.fleet;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.fairness.QueueLimits;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.key.StalenessPolicy;
import org.hyssopswitch.load.LoadOptions.VmTarget;
import org.hyssopswitch.load.profile.LoadProfile;
import org.hyssopswitch.peer.PeerOptions;
import org.hyssopswitch.platform.HttpPlatformClient;
import org.hyssopswitch.platform.PlatformClient;
import org.hyssopswitch.platform.PlatformOptions;
import org.hyssopswitch.proxy.home.EndpointUser;
import org.hyssopswitch.proxy.home.EndpointUsers;
import org.hyssopswitch.proxy.vm.DefaultVmCoreFactory;
import org.hyssopswitch.proxy.vm.VmCoreFactory;
import org.hyssopswitch.proxy.vm.VmMessages;
import org.hyssopswitch.proxy.vm.VmOptions;
import org.hyssopswitch.proxy.vm.VmRuntime;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;
import org.hyssopswitch.standin.group.Credential;
import org.hyssopswitch.standin.group.DatabaseGroupServer;
import org.hyssopswitch.standin.group.GroupSettings;
import org.hyssopswitch.standin.platform.PlatformCredential;
import org.hyssopswitch.standin.platform.PlatformServer;
import org.hyssopswitch.standin.platform.PlatformSettings;

/** A deployment in this process, on ephemeral loopback ports: a platform, database groups and VMs. */
public final class Fleet implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final String TOKEN = "fleet-credential";
    private static final byte[] SECRET = "fleet-secret-of-this-process".getBytes(StandardCharsets.UTF_8);
    private static final long LIST_LAG_MILLIS = 1_000;
    private static final long TICK_MILLIS = 20;
    private static final long DRAIN_MILLIS = 10_000;
    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final long READY_CHECK_MILLIS = 50;
    private static final int CALL_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    private final LoadProfile profile;
    private final FleetPlan plan;
    private final CorePolicy policy;
    private final PlatformServer platform;
    private final Map<DatabaseId, DatabaseGroupServer> groups = new LinkedHashMap<>();
    private final List<VmRuntime> vms = new ArrayList<>();
    private long lastIncarnation;

    private Fleet(LoadProfile profile, CorePolicy policy) {
        this.profile = profile;
        this.plan = new FleetPlan(profile);
        this.policy = policy;
        PlatformCredential credential = PlatformCredential.of("fleet", TOKEN, PlatformCredential.Kind.ADMIN);
        this.platform = new PlatformServer(new PlatformSettings(0, List.of(credential), 0, LIST_LAG_MILLIS));
    }

    /**
     * Starts a deployment and waits until its VMs serve.
     *
     * @param profile sizes, client accounts and routes; databases and client accounts are below the deployment's team
     * @param policy the decisions that its VMs make
     * @throws HyssopException if it does not serve in time
     */
    public static Fleet start(LoadProfile profile, CorePolicy policy) {
        Fleet fleet = new Fleet(profile, policy);
        try {
            fleet.startAll();
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
        return fleet;
    }

    /** The groups by database. */
    public Map<DatabaseId, DatabaseGroupServer> groups() {
        return Map.copyOf(groups);
    }

    /** The group of the profile's first database, on which faults are injected. */
    public DatabaseGroupServer firstGroup() {
        return groups.values().iterator().next();
    }

    /** The platform. */
    public PlatformServer platform() {
        return platform;
    }

    /** The VMs in order. */
    public List<VmRuntime> vms() {
        return List.copyOf(vms);
    }

    /** The addresses that callers connect to. */
    public List<VmTarget> callerAddresses() {
        return vms.stream().map(vm -> new VmTarget(HOST, vm.callerPort())).toList();
    }

    /**
     * Kills a VM: its connections break and nothing is handed back. The platform's list shows it later.
     *
     * @param index position of the VM
     */
    public void kill(int index) {
        VmRuntime vm = vms.get(index);
        vm.close();
        platform.remove(vm.self().vm());
    }

    /**
     * Ends a VM gracefully.
     *
     * @param index position of the VM
     */
    public void drain(int index) {
        VmRuntime vm = vms.get(index);
        platform.leave(vm.self().vm());
        vm.shutdown().thenAccept(complete -> platform.remove(vm.self().vm()));
    }

    @Override
    public void close() {
        vms.forEach(VmRuntime::close);
        groups.values().forEach(DatabaseGroupServer::close);
        platform.close();
    }

    private void startAll() {
        platform.start();
        for (String database : profile.deployment().databases()) {
            DatabaseGroupServer group = new DatabaseGroupServer(plan.group(database));
            group.start();
            groups.put(group.settings().database(), group);
        }
        publish();
        for (int i = 0; i < profile.deployment().vms(); i++) {
            startVm(i);
        }
        awaitReady();
    }

    private void publish() {
        TeamConfigurationCodec codec = new TeamConfigurationCodec();
        byte[] value = codec.encode(plan.configuration(groups));
        codec.decode(FleetPlan.TEAM, 1, value).peekLeft(f -> {
            throw new HyssopException("the configuration of the deployment is invalid: " + f.describe());
        });
        platform.update("config/teams/" + FleetPlan.TEAM, 0, value);
    }

    private void startVm(int index) {
        lastIncarnation++;
        PeerOptions peer = new PeerOptions(
                new VmId("vm-" + (index + 1)),
                lastIncarnation,
                plan.dataCentre(index),
                plan.cell(index),
                HOST,
                0,
                SECRET,
                PeerOptions.Limits.DEFAULT);
        VmOptions.Listener any = new VmOptions.Listener(HOST, 0);
        VmRuntime vm = new VmRuntime(
                new VmOptions(peer, any, any, users(), Option.none(), TICK_MILLIS, DRAIN_MILLIS),
                VmMessages.registry(),
                platformClient(),
                cores(),
                new MetricRegistry());
        vm.start();
        vms.add(vm);
        platform.register(vm.self());
    }

    private VmCoreFactory cores() {
        VmCoreFactory product =
                new DefaultVmCoreFactory(StalenessPolicy.serveLastKnown(), QueueLimits.DEFAULT, VmRuntime::nowMillis);
        int count = profile.deployment().vms();
        return (self, load) -> policy.apply(product.create(self, load), count);
    }

    private PlatformClient platformClient() {
        return new HttpPlatformClient(
                new PlatformOptions(URI.create(platform.url()), TOKEN, CALL_TIMEOUT_MILLIS, MAX_ANSWER_BYTES));
    }

    private EndpointUsers users() {
        GroupSettings any = groups.values().iterator().next().settings();
        return new EndpointUsers(user(any.writer()), user(any.reader()));
    }

    private static EndpointUser user(Credential credential) {
        return new EndpointUser(credential.user(), credential.password());
    }

    private void awaitReady() {
        long deadline = VmRuntime.nowMillis() + READY_TIMEOUT_MILLIS;
        while (!vms.stream().allMatch(VmRuntime::ready)) {
            if (VmRuntime.nowMillis() > deadline) {
                throw new HyssopException("the VMs are not ready after " + READY_TIMEOUT_MILLIS + " ms");
            }
            pause();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(READY_CHECK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HyssopException("interrupted while the VMs started", e);
        }
    }
}
