package org.hyssopswitch.standin.platform;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/** The platform in this process: an HTTP listener on the loopback address, objects in memory, and faults. */
public final class PlatformServer implements AutoCloseable {

    private static final Logger LOG = LogManager.getLogger(PlatformServer.class);
    private static final String HOST = "127.0.0.1";
    private static final int UNLIMITED = -1;

    private final ScheduledExecutorService timer;
    private final PlatformFaults faults;
    private final PlatformHandler handler;
    private final NetworkListener listener;
    private final HttpServer server = new HttpServer();

    /**
     * Creates a platform that does not listen yet.
     *
     * @param settings its settings
     */
    public PlatformServer(PlatformSettings settings) {
        this.timer = Executors.newSingleThreadScheduledExecutor(PlatformServer::thread);
        this.faults = new PlatformFaults(settings.callsPerSecond());
        this.handler = new PlatformHandler(settings, faults, timer);
        this.listener = new NetworkListener("platform", HOST, settings.port());
        // A connection closed between calls would look like a lost answer to a client that has just sent the next one.
        listener.getKeepAlive().setIdleTimeoutInSeconds(UNLIMITED);
        listener.getKeepAlive().setMaxRequestsCount(UNLIMITED);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(handler, "/");
    }

    /** Binds the port. */
    public void start() {
        try {
            server.start();
        } catch (IOException e) {
            throw new HyssopException("the platform cannot listen", e);
        }
        LOG.info("event=platform_listening port={}", port());
    }

    /** The port that is bound. */
    public int port() {
        return listener.getPort();
    }

    /** The base URL. */
    public String url() {
        return "http://" + HOST + ":" + port();
    }

    /** The faults, to be switched on and off. */
    public PlatformFaults faults() {
        return faults;
    }

    /** The counters. */
    public PlatformStatistics statistics() {
        return handler.locked(PlatformHandler::statistics);
    }

    /**
     * Reads an object, regardless of faults.
     *
     * @param path path of the object
     */
    public StoredObject read(String path) {
        return handler.locked(h -> h.store().read(path));
    }

    /**
     * Writes an object if it has the expected version, regardless of faults.
     *
     * @param path path of the object
     * @param expectedVersion version that must be current; 0 to create the object
     * @param value the new value
     * @return the object as written; empty when it has another version
     */
    public Optional<StoredObject> update(String path, long expectedVersion, byte[] value) {
        return handler.locked(h -> {
            Optional<StoredObject> updated = h.store().update(path, expectedVersion, value);
            updated.ifPresent(o -> h.changed(o.path()));
            return updated;
        });
    }

    /**
     * Lists a VM as live, after the lag.
     *
     * @param vm the VM
     */
    public void register(VmAddress vm) {
        changeVms(r -> r.register(vm, PlatformHandler.nowMillis()));
    }

    /**
     * Lists a VM as leaving, after the lag.
     *
     * @param vm the VM
     */
    public void leave(VmId vm) {
        changeVms(r -> r.leave(vm, PlatformHandler.nowMillis()));
    }

    /**
     * Removes a VM from the lists, after the lag.
     *
     * @param vm the VM
     */
    public void remove(VmId vm) {
        changeVms(r -> r.remove(vm, PlatformHandler.nowMillis()));
    }

    /** Drops waiting calls and stops listening. */
    @Override
    public void close() {
        handler.locked(h -> {
            h.dropWatches();
            return true;
        });
        server.shutdownNow();
        timer.shutdownNow();
    }

    private void changeVms(Consumer<VmRegistry> change) {
        handler.locked(h -> {
            change.accept(h.registry());
            return true;
        });
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "standin-platform");
        thread.setDaemon(true);
        return thread;
    }
}
