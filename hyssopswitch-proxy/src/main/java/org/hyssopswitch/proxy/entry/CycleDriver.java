package org.hyssopswitch.proxy.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.failure.Execution;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.limit.Admission;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.retry.Deadline;
import org.hyssopswitch.core.retry.FailedAttempt;
import org.hyssopswitch.core.retry.RetryDecision;
import org.hyssopswitch.core.session.Selection;
import org.hyssopswitch.core.session.SelectionRequest;
import org.hyssopswitch.proxy.forward.AnswerEnd;
import org.hyssopswitch.proxy.forward.CycleRouting;
import org.hyssopswitch.proxy.net.DecisionLoop.Timer;
import org.hyssopswitch.wire.Frame;

/** Takes one cycle of a session to an endpoint and its answer back. */
final class CycleDriver implements StreamListener {

    private static final long FORGIVE_MILLIS = 250;

    private final EntryContext context;
    private final CallerSession session;
    private final List<Frame> frames;
    private final long arrivedMillis;
    private final Deadline deadline;
    private final Timer timer;
    private final Set<EndpointId> tried = new HashSet<>();
    private final Set<VmAddress> failedHomes = new HashSet<>();
    private Option<EntryStream> stream = Option.none();
    private Option<CycleRewriter> rewriter = Option.none();
    private RouteDeclaration route;
    private boolean open;
    private boolean pinned;
    private boolean primary;
    private boolean confirm;
    private boolean answered;
    private boolean extended;
    private boolean mayHaveRun;
    private long admissionMillis = -1;
    private boolean ended;
    private int attempts;
    private long sentMillis;
    private long failedMillis;

    CycleDriver(EntryContext context, CallerSession session, CyclePart part) {
        this.context = context;
        this.session = session;
        this.frames = new ArrayList<>(part.frames());
        this.open = part.open();
        this.arrivedMillis = context.nowMillis();
        this.deadline = Deadline.after(arrivedMillis, context.options().statementMillis());
        this.timer = context.loop().schedule(context.options().statementMillis(), this::timedOut);
        this.route = RouteDeclaration.undeclared(session.database());
    }

    boolean open() {
        return open;
    }

    void start() {
        Either<Refusal, RouteDeclaration> resolved = session.route(frames);
        if (resolved.isLeft()) {
            refuse(resolved.getLeft());
            return;
        }
        route = resolved.get();
        Option<Refusal> refusal = context.collaborators().freshness().get().orElse(() -> session.reserve(frames));
        if (refusal.isDefined()) {
            refuse(refusal.get());
            return;
        }
        pinned = session.pinned().isDefined();
        context.collaborators().retries().recordFirstAttempt();
        admit();
    }

    /** Takes further frames of an open cycle. */
    void more(CyclePart part) {
        open = part.open();
        Option<Refusal> refusal = session.reserve(part.frames());
        if (refusal.isDefined()) {
            refuse(refusal.get());
        } else if (stream.isEmpty()) {
            frames.addAll(part.frames());
        } else {
            extended = true;
            rewriter.get()
                    .rewrite(part.frames())
                    .peek(bytes -> stream.get().more(open, bytes))
                    .peekLeft(this::refuse);
        }
    }

    void cancel() {
        if (stream.isDefined()) {
            stream.get().cancel();
        } else if (!pinned) {
            refuse(new Refusal.Cancelled());
        }
    }

    /** Gives the cycle up because the caller is gone. */
    void abort() {
        ended = true;
        timer.cancel();
        stream.forEach(EntryStream::close);
    }

    @Override
    public void answerData(byte[] bytes) {
        byte[] shown = rewriter.get().filter(bytes);
        answered |= shown.length > 0;
        EntryStream source = stream.get();
        session.send(shown, () -> source.grant(bytes.length));
    }

    @Override
    public void answerEnded(AnswerEnd end) {
        switch (end.state()) {
            case COMPLETE -> complete(end);
            case NOT_COVERED -> {
                tried.add(stream.get().endpoint());
                retryElsewhere(end.reason());
            }
            case NOT_RUN -> notRun(end.reason());
            case OVERLOADED ->
                failWith(new Refusal.Overloaded(session.identity().account(), end.retryAfterMillis()));
            case CANCELLED -> failWith(new Refusal.Cancelled());
            default -> unknown(end.reason());
        }
    }

    @Override
    public void homeLost() {
        failedHomes.add(stream.get().home());
        unknown("the home of the endpoint is gone");
    }

    /** A transaction is never refused for its rate: its cycles wait, because it holds locks and a connection. */
    private void admit() {
        if (ended) {
            return;
        }
        long now = context.nowMillis();
        if (admissionMillis < 0) {
            admissionMillis = now;
        }
        Admission admission =
                context.collaborators().limiter().admit(session.identity().account(), admissionMillis, now);
        if (admission instanceof Admission.Admitted) {
            findFloor();
        } else if (admission instanceof Admission.Wait wait) {
            context.loop().schedule(Math.max(1, wait.untilMillis() - now), this::admit);
        } else if (admission instanceof Admission.Refused refused) {
            notAdmitted(refused.refusal(), now);
        }
    }

    /** A read of data of some age must know what its session has seen; other statements go to the primary anyway. */
    private void findFloor() {
        boolean needed = !pinned && route.read() && route.maxAgeMillis() > 0;
        if (!needed || session.floor().isDefined()) {
            attempt();
            return;
        }
        context.floors().request(session.database(), deadline.atMillis(), found -> {
            found.forEach(session::floorFound);
            if (found.isDefined()) {
                attempt();
            } else if (!ended) {
                refuse(new Refusal.EndpointUnavailable(session.database(), 1_000));
            }
        });
    }

    private void notAdmitted(Refusal refusal, long now) {
        if (pinned && !deadline.hasPassed(now)) {
            context.loop().schedule(Math.max(1, refusal.retryAfterMillis()), this::admit);
        } else if (pinned) {
            end(() -> session.endFatal(refusal));
        } else {
            refuse(refusal);
        }
    }

    private void attempt() {
        if (ended) {
            return;
        }
        if (pinned) {
            EntryStream held = session.pinned().get();
            route = session.pinnedRoute();
            primary = session.pinnedPrimary();
            confirm = primary && route.maxAgeMillis() == 0;
            send(held);
            return;
        }
        long now = context.nowMillis();
        if (deadline.hasPassed(now)) {
            refuse(new Refusal.EndpointUnavailable(session.database(), 1_000));
            return;
        }
        Selection selection = context.collaborators()
                .selector()
                .select(new SelectionRequest(route, floor(), tried, arrivedMillis), now);
        if (selection instanceof Selection.Use use) {
            use(use);
        } else if (selection instanceof Selection.Wait wait) {
            context.loop().schedule(Math.max(1, wait.retryAtMillis() - now), this::attemptAfterWait);
        } else if (selection instanceof Selection.Unavailable unavailable) {
            refuse(new Refusal.EndpointUnavailable(session.database(), unavailable.retryAfterMillis()));
        }
    }

    /** What failed a while ago may serve again by now. */
    private void attemptAfterWait() {
        if (context.nowMillis() - failedMillis >= FORGIVE_MILLIS) {
            tried.clear();
            failedHomes.clear();
        }
        attempt();
    }

    private void use(Selection.Use use) {
        primary = use.primary();
        confirm = use.confirm();
        List<VmAddress> homes = homes(use.endpoint());
        if (homes.isEmpty()) {
            tried.add(use.endpoint());
            retryElsewhere("no home of the endpoint is known");
            return;
        }
        VmAddress home =
                homes.stream().filter(h -> !failedHomes.contains(h)).findFirst().orElse(homes.get(0));
        send(context.forwarder().open(home, use.endpoint(), this));
    }

    private void send(EntryStream target) {
        CycleRewriter next = new CycleRewriter(session.statements(), target.prepared());
        Either<Refusal, byte[]> bytes = next.rewrite(frames);
        if (bytes.isLeft()) {
            if (!pinned) {
                target.close();
            }
            refuse(bytes.getLeft());
            return;
        }
        attempts++;
        sentMillis = context.nowMillis();
        stream = Option.some(target);
        rewriter = Option.some(next);
        target.listen(this);
        target.execute(facts(target.endpoint()), open, bytes.get());
    }

    private CycleRouting facts(EndpointId endpoint) {
        return new CycleRouting(
                session.identity().account(),
                session.database(),
                endpoint,
                route.read(),
                confirm,
                floor(),
                deadline.remainingMillis(context.nowMillis()));
    }

    private LogPosition floor() {
        return session.floor().getOrElse(LogPosition.ZERO);
    }

    private List<VmAddress> homes(EndpointId endpoint) {
        return Option.ofOptional(context.configuration().database(session.database()))
                .flatMap(d -> Option.ofOptional(d.endpoints().stream()
                        .filter(e -> e.id().equals(endpoint))
                        .findFirst()))
                .map((EndpointDeclaration e) ->
                        context.collaborators().resolver().homes(e))
                .getOrElse(List.of());
    }

    private void complete(AnswerEnd end) {
        byte[] last = rewriter.get().filter(end.frames());
        if (end.confirmed().isPresent()) {
            context.confirmed().confirmed(session.database(), end.confirmed().position(), sentMillis);
        }
        long millis = context.nowMillis() - arrivedMillis;
        context.metrics().answered(session.identity().account(), route.read(), primary, millis);
        end(() -> session.complete(last, end, stream.get(), route, primary));
    }

    private void notRun(String reason) {
        EntryStream failed = stream.get();
        failedHomes.add(failed.home());
        if (failedHomes.containsAll(homes(failed.endpoint()))) {
            tried.add(failed.endpoint());
        }
        retryElsewhere(reason);
    }

    private void retryElsewhere(String reason) {
        stream = Option.none();
        failedMillis = context.nowMillis();
        if (pinned || extended || answered) {
            failWith(new Refusal.OutcomeUnknown(session.database(), reason));
            return;
        }
        context.metrics().retried();
        // A pass through the loop keeps a run of failures from growing the stack.
        context.loop().execute(this::attempt);
    }

    private void unknown(String reason) {
        Refusal refusal = new Refusal.OutcomeUnknown(session.database(), reason);
        boolean repeatable = !answered && !extended && !pinned && (route.read() || route.repeatable());
        RetryDecision decision = context.collaborators()
                .retries()
                .afterFailure(
                        new FailedAttempt(Math.max(1, attempts), repeatable, true, deadline), context.nowMillis());
        if (repeatable && decision instanceof RetryDecision.Retry retry) {
            stream.forEach(s -> tried.add(s.endpoint()));
            stream = Option.none();
            mayHaveRun |= !route.read();
            failedMillis = context.nowMillis();
            context.metrics().retried();
            context.loop().schedule(retry.delayMillis(), this::attempt);
        } else {
            failWith(refusal);
        }
    }

    /** The end of a stream inside a transaction is the end of the transaction, which only a new session makes clear. */
    private void failWith(Refusal refusal) {
        if (!pinned) {
            refuse(refusal);
            return;
        }
        end(() -> session.endFatal(refusal));
    }

    /** The refused start of a transaction ends the session, because what the caller has sent behind it must not run. */
    private void refuse(Refusal cause) {
        Refusal refusal = truthful(cause);
        if (!pinned && TransactionStart.matches(frames, session.statements())) {
            end(() -> session.endFatal(refusal));
            return;
        }
        context.metrics().refused(session.identity().account(), refusal);
        boolean inTransaction = pinned;
        end(() -> session.refuse(refusal, open, inTransaction));
    }

    /** No refusal may say that a write has not run when an earlier attempt of it may have. */
    private Refusal truthful(Refusal refusal) {
        boolean untrue = mayHaveRun && refusal.execution() == Execution.NOT_RUN;
        return untrue
                ? new Refusal.OutcomeUnknown(
                        session.database(), "an earlier attempt may have run; " + refusal.describe())
                : refusal;
    }

    /** A home that is cut off without a word gives no answer; whatever it runs is rolled back when it can be told. */
    private void timedOut() {
        if (ended) {
            return;
        }
        if (stream.isEmpty() && !pinned) {
            refuse(new Refusal.EndpointUnavailable(session.database(), 1_000));
            return;
        }
        stream.forEach(EntryStream::close);
        failWith(new Refusal.OutcomeUnknown(session.database(), "no answer came in time"));
    }

    private void end(Runnable last) {
        if (!ended) {
            ended = true;
            timer.cancel();
            last.run();
        }
    }
}
