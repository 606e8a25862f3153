package org.hyssopswitch.proxy.vm;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import org.hyssopswitch.core.fairness.QueueLimits;
import org.hyssopswitch.peer.PeerOptions;
import org.hyssopswitch.platform.HttpPlatformClient;
import org.hyssopswitch.platform.PlatformClient;
import org.hyssopswitch.platform.PlatformOptions;
import org.hyssopswitch.proxy.entry.EntryOptions;
import org.hyssopswitch.proxy.home.EndpointUser;
import org.hyssopswitch.proxy.home.EndpointUsers;
import org.hyssopswitch.proxy.net.PemIdentity;
import org.hyssopswitch.settings.ListenerSettings;
import org.hyssopswitch.settings.VmSettings;

/** Starts a VM from its settings. */
public final class VmLauncher {

    private static final int MAX_PLATFORM_ANSWER_BYTES = 64 * 1024 * 1024;

    private VmLauncher() {}

    /**
     * Starts a VM.
     *
     * @param settings its settings
     * @param incarnation milliseconds since the epoch
     * @return the running VM
     * @throws org.hyssopswitch.core.failure.HyssopException if an address or a certificate cannot be used
     */
    public static VmRuntime start(VmSettings settings, long incarnation) {
        PlatformClient platform = new HttpPlatformClient(new PlatformOptions(
                settings.platform().url(),
                settings.platform().credential().value(),
                settings.platform().callTimeoutMillis(),
                MAX_PLATFORM_ANSWER_BYTES));
        VmRuntime vm = new VmRuntime(
                options(settings, incarnation),
                VmMessages.registry(),
                platform,
                new DefaultVmCoreFactory(settings.keys().policy(), queues(settings), VmRuntime::nowMillis),
                new MetricRegistry());
        vm.start();
        return vm;
    }

    private static VmOptions options(VmSettings settings, long incarnation) {
        ListenerSettings peer = settings.listeners().peer();
        var tuning = settings.tuning();
        PeerOptions.Limits defaults = PeerOptions.Limits.DEFAULT;
        PeerOptions peers = new PeerOptions(
                settings.vm(),
                incarnation,
                settings.dataCentre(),
                settings.cell(),
                peer.host(),
                peer.port(),
                settings.fleetSecret().bytes(),
                new PeerOptions.Limits(
                        tuning.peers().maxFrameBytes(),
                        tuning.peers().maxPendingBytes(),
                        tuning.peers().handshakeTimeoutMillis(),
                        defaults.minBackoffMillis(),
                        defaults.maxBackoffMillis(),
                        defaults.maxStrangers()));
        return new VmOptions(
                peers,
                listener(settings.listeners().caller()),
                listener(settings.listeners().operations()),
                new EndpointUsers(
                        user(settings.endpointUsers().writer()),
                        user(settings.endpointUsers().reader())),
                Option.ofOptional(settings.tls()).map(t -> PemIdentity.read(t.certificateFile(), t.keyFile())),
                new EntryOptions(
                        tuning.callers().maxConnections(),
                        tuning.callers().startupTimeoutMillis(),
                        tuning.callers().statementTimeoutMillis()),
                tuning.engine().tickMillis(),
                tuning.shutdown().drainMillis());
    }

    private static QueueLimits queues(VmSettings settings) {
        int perAccount = settings.tuning().queue().maxStatementsPerAccount();
        return new QueueLimits(perAccount, Math.max(perAccount, QueueLimits.DEFAULT.total()));
    }

    private static VmOptions.Listener listener(ListenerSettings listener) {
        return new VmOptions.Listener(listener.host(), listener.port());
    }

    private static EndpointUser user(org.hyssopswitch.settings.EndpointUsers.User user) {
        return new EndpointUser(user.name(), user.password().value());
    }
}
