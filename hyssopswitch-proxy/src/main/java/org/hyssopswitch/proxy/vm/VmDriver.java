package org.hyssopswitch.proxy.vm;

import io.vavr.control.Option;
import java.util.List;
import java.util.function.LongSupplier;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.DecisionEngine;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.peer.PeerTransport;
import org.hyssopswitch.proxy.entry.EntryService;
import org.hyssopswitch.proxy.home.HomeService;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Feeds events to the decision engine and performs the actions it decides on. Confined to the decision thread. */
final class VmDriver {

    private final DecisionLoop loop;
    private final DecisionEngine engine;
    private final LongSupplier clock;
    private final VmAddress self;
    private final PeerTransport transport;
    private final PlatformCalls platform;
    private EntryService entry;
    private HomeService home;
    private Configuration applied = Configuration.EMPTY;

    VmDriver(
            DecisionLoop loop, DecisionEngine engine, VmAddress self, PeerTransport transport, PlatformCalls platform) {
        this.loop = loop;
        this.engine = engine;
        this.clock = loop::nowMillis;
        this.self = self;
        this.transport = transport;
        this.platform = platform;
    }

    void attach(EntryService entryService, HomeService homeService) {
        entry = entryService;
        home = homeService;
    }

    void tick() {
        perform(engine.tick(clock.getAsLong()));
    }

    void handle(Event event) {
        perform(engine.handle(event, clock.getAsLong()));
    }

    /** Performs an action later, because its system is still at work. */
    void defer(Action action) {
        loop.execute(() -> perform(List.of(action)));
    }

    /** Sends a message; one to this VM takes the same way without the network. */
    void send(VmAddress to, PeerMessage message) {
        if (to.equals(self)) {
            loop.execute(() -> messageReceived(self, message));
        } else {
            transport.send(to, message);
        }
    }

    void messageReceived(VmAddress from, PeerMessage message) {
        home.messageReceived(from, message);
        entry.messageReceived(from, message);
        handle(new Event.MessageReceived(from, message));
    }

    void linkFailed(VmAddress to) {
        home.linkFailed(to);
        entry.linkFailed(to);
        handle(new Event.LinkFailed(to));
    }

    private void perform(List<Action> actions) {
        actions.forEach(this::perform);
    }

    private void perform(Action action) {
        if (action instanceof Action.SendMessage send) {
            send(send.to(), send.message());
        } else if (action instanceof Action.ReadObject read) {
            platform.read(read);
        } else if (action instanceof Action.WatchObject watch) {
            platform.watch(watch);
        } else if (action instanceof Action.WatchPrefix watch) {
            platform.watchPrefix(watch);
        } else if (action instanceof Action.UpdateObject update) {
            platform.update(update);
        } else if (action instanceof Action.ListVms) {
            platform.listVms();
        } else if (action instanceof Action.CallEndpoint call) {
            home.call(call, event -> loop.execute(() -> handle(event)));
        } else if (action instanceof Action.ResolveCommit resolve) {
            home.resolve(resolve);
        } else if (action instanceof Action.ResolveFloor floor) {
            entry.floorResolved(floor.ticket(), Option.ofOptional(floor.floor()));
        } else if (action instanceof Action.ApplyConfiguration) {
            configured(engine.configuration());
        }
    }

    private void configured(Configuration configuration) {
        if (configuration.version() > applied.version()) {
            applied = configuration;
            home.configure(configuration);
            entry.configured();
        }
    }
}
