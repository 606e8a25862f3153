package org.hyssopswitch.standin.group;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;

/** One endpoint while it runs: its state, sessions, slots and pending awaits. Confined to the group's thread. */
final class EndpointRuntime {

    private final Endpoint endpoint;
    private final GroupSettings settings;
    private final FaultTable faults;
    private final GroupThread thread;
    private final Runnable changed;
    private final SlotGate gate;
    private final Map<Integer, ClientSession> sessions = new HashMap<>();
    private final List<PendingAwait> awaits = new ArrayList<>();
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private final SplittableRandom secrets;
    private int lastProcess;
    private int peakConnections;
    private long opened;
    private long refusedOverCap;
    private long statements;

    /**
     * Creates a runtime.
     *
     * @param changed called after the endpoint's log or role may have changed
     */
    EndpointRuntime(
            Endpoint endpoint, GroupSettings settings, FaultTable faults, GroupThread thread, Runnable changed) {
        this.endpoint = endpoint;
        this.settings = settings;
        this.faults = faults;
        this.thread = thread;
        this.changed = changed;
        this.gate = new SlotGate(settings.slots());
        this.secrets = new SplittableRandom(endpoint.id().hashCode() ^ thread.nowNanos());
    }

    Endpoint endpoint() {
        return endpoint;
    }

    GroupSettings settings() {
        return settings;
    }

    FaultTable faults() {
        return faults;
    }

    GroupThread thread() {
        return thread;
    }

    SlotGate gate() {
        return gate;
    }

    int nextProcess() {
        return ++lastProcess;
    }

    int nextSecret() {
        return secrets.nextInt();
    }

    /** Counts the session against the connection cap; false when the cap is reached. */
    boolean open(ClientSession session) {
        if (sessions.size() >= settings.connections()) {
            refusedOverCap++;
            return false;
        }
        sessions.put(session.process(), session);
        opened++;
        peakConnections = Math.max(peakConnections, sessions.size());
        return true;
    }

    void closed(ClientSession session) {
        sessions.remove(session.process(), session);
    }

    void cancel(int process, int secret) {
        Optional.ofNullable(sessions.get(process))
                .filter(s -> s.secret() == secret)
                .ifPresent(ClientSession::cancel);
    }

    void countStatement() {
        statements++;
    }

    EndpointStatistics statistics() {
        List<String> clients =
                sessions.values().stream().map(ClientSession::applicationName).toList();
        return new EndpointStatistics(clients, peakConnections, opened, refusedOverCap, statements);
    }

    /** Runs a control call; the reply of an await comes when it is decided. */
    void control(ControlRequest request, Consumer<ControlReply> reply) {
        if (request instanceof ControlRequest.AwaitPosition await) {
            awaits.add(new PendingAwait(await, reply));
            checkAwaits();
            return;
        }
        ControlReply result = endpoint.control(request, thread.nowNanos());
        reply.accept(result);
        changed.run();
    }

    void forgetAwait(Consumer<ControlReply> reply) {
        awaits.removeIf(a -> a.reply() == reply);
    }

    /** Answers the awaits that the current log and term decide. */
    void checkAwaits() {
        if (faults.frozen(endpoint.id())) {
            return;
        }
        List<Runnable> answers = new ArrayList<>();
        for (Iterator<PendingAwait> i = awaits.iterator(); i.hasNext(); ) {
            PendingAwait await = i.next();
            Optional<ControlReply> result =
                    endpoint.await(await.request().term(), await.request().offset(), thread.nowNanos());
            if (result.isPresent()) {
                i.remove();
                answers.add(() -> await.reply().accept(result.get()));
            }
        }
        answers.forEach(Runnable::run);
    }

    void committed() {
        changed.run();
    }

    /** Runs a task now, or when the endpoint resumes. */
    void whenAwake(Runnable task) {
        if (faults.frozen(endpoint.id())) {
            deferred.add(task);
        } else {
            task.run();
        }
    }

    /** Continues what a fault held back. */
    void resume() {
        while (!deferred.isEmpty() && !faults.frozen(endpoint.id())) {
            deferred.remove().run();
        }
        checkAwaits();
        List.copyOf(sessions.values()).forEach(ClientSession::resume);
    }

    /** Ends all sessions, as a crash does. */
    void dropSessions() {
        List.copyOf(sessions.values()).forEach(ClientSession::abort);
        deferred.clear();
        awaits.clear();
    }

    private record PendingAwait(ControlRequest.AwaitPosition request, Consumer<ControlReply> reply) {}
}
