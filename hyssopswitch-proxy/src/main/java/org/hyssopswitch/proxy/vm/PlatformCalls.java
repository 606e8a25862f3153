package org.hyssopswitch.proxy.vm;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.platform.PlatformClient;

/** Performs the actions that call the platform. */
final class PlatformCalls {

    private static final long WATCH_MILLIS = 20_000;
    private static final long PREFIX_WATCH_MILLIS = 5_000;

    private final PlatformClient platform;
    private final Executor loop;
    private final Consumer<Event> events;

    PlatformCalls(PlatformClient platform, Executor loop, Consumer<Event> events) {
        this.platform = platform;
        this.loop = loop;
        this.events = events;
    }

    void read(Action.ReadObject action) {
        answer(platform.read(action.path()), r -> events.accept(new Event.ObjectCallCompleted(action.call(), r)));
    }

    void watch(Action.WatchObject action) {
        answer(
                platform.watch(action.path(), action.afterVersion(), WATCH_MILLIS),
                r -> events.accept(new Event.ObjectCallCompleted(action.call(), r)));
    }

    void watchPrefix(Action.WatchPrefix action) {
        answer(
                platform.watchPrefix(action.prefix(), action.afterVersion(), PREFIX_WATCH_MILLIS),
                r -> events.accept(new Event.PrefixWatchCompleted(action.call(), r)));
    }

    void update(Action.UpdateObject action) {
        answer(
                platform.update(action.path(), action.expectedVersion(), action.value()),
                r -> events.accept(new Event.ObjectCallCompleted(action.call(), r)));
    }

    void listVms() {
        answer(
                platform.listVms(),
                r -> r.forEach(list -> events.accept(new Event.VmsListed(list.live(), list.leaving()))));
    }

    private <T> void answer(CompletionStage<T> stage, Consumer<T> target) {
        CompletionStage<Void> unused = stage.thenAcceptAsync(target, loop);
    }
}
