package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.hyssopswitch.core.failover.CommitHolder;
import org.hyssopswitch.core.failover.ReplicationStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.endpoint.EndpointProbe;
import org.hyssopswitch.pool.endpoint.ProbeResult;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.proxy.net.DecisionLoop;

/**
 * Sends a command that reports the status to servers, to those that are no longer listed at their last known address.
 */
final class CommitHolderSurvey {

    /** Time after which an answer is no longer awaited, milliseconds. */
    private static final long TIMEOUT_MILLIS = 250;

    private final DatabaseGroup group;
    private final EndpointCommand command;
    private final Consumer<Result> done;
    private final List<EndpointProbe> probes = new ArrayList<>();
    private final Map<CommitHolder, ReplicationStatus> statuses = new HashMap<>();
    private final Set<CommitHolder> ended = new HashSet<>();
    private int unanswered;
    private boolean completed;

    private CommitHolderSurvey(DatabaseGroup group, EndpointCommand command, int holders, Consumer<Result> done) {
        this.group = group;
        this.command = command;
        this.unanswered = holders;
        this.done = done;
    }

    /** Queries the log that servers have received; {@code done} receives one result, on the decision thread. */
    static void start(DatabaseGroup group, Collection<CommitHolder> holders, DecisionLoop loop, Consumer<Result> done) {
        start(group, new EndpointCommand.QueryStatus(), holders, loop, done);
    }

    /** Sends a command that reports the status; {@code done} receives one result, on the decision thread. */
    static void start(
            DatabaseGroup group,
            EndpointCommand command,
            Collection<CommitHolder> holders,
            DecisionLoop loop,
            Consumer<Result> done) {
        CommitHolderSurvey survey = new CommitHolderSurvey(group, command, holders.size(), done);
        loop.schedule(TIMEOUT_MILLIS, survey::complete);
        holders.forEach(survey::send);
    }

    /** Returns the holder that a listed endpoint is. */
    static CommitHolder holderOf(Endpoint endpoint) {
        return new CommitHolder(
                endpoint.id(), endpoint.bornMillis(), endpoint.host(), endpoint.port(), endpoint.draining());
    }

    /** Returns the listed servers of a group. */
    static List<CommitHolder> listed(DatabaseGroup group) {
        return group.endpoints().stream().map(CommitHolderSurvey::holderOf).toList();
    }

    private void send(CommitHolder holder) {
        List<CommitHolder> listed = listed(group);
        if (listed.stream().anyMatch(one -> one.replaces(holder))) {
            answered(holder, new ProbeResult(Option.none(), true));
        } else if (listed.contains(holder) && group.isReachable(holder.endpoint())) {
            group.sendControl(
                    holder.endpoint(),
                    command,
                    TIMEOUT_MILLIS,
                    status -> answered(holder, new ProbeResult(status, false)));
        } else {
            probes.add(group.probe(addressOf(holder), command, result -> answered(holder, result)));
        }
    }

    private void answered(CommitHolder holder, ProbeResult result) {
        if (completed) {
            return;
        }
        result.status().forEach(status -> statuses.put(holder, status));
        if (result.ended()) {
            ended.add(holder);
        }
        unanswered--;
        if (unanswered == 0) {
            complete();
        }
    }

    private void complete() {
        if (!completed) {
            completed = true;
            probes.forEach(EndpointProbe::cancel);
            done.accept(new Result(statuses, ended));
        }
    }

    private Endpoint addressOf(CommitHolder holder) {
        return new Endpoint(
                holder.endpoint(),
                group.name(),
                holder.host(),
                holder.port(),
                "",
                holder.draining(),
                false,
                holder.bornMillis(),
                0,
                StorePosition.NONE);
    }

    /**
     * Result of a survey.
     *
     * @param statuses statuses of the processes that answered
     * @param ended processes that no longer run
     */
    record Result(Map<CommitHolder, ReplicationStatus> statuses, Set<CommitHolder> ended) {

        /** Copies the collections. */
        Result {
            statuses = Map.copyOf(statuses);
            ended = Set.copyOf(ended);
        }

        /** Returns the log positions of the processes that answered. */
        Map<CommitHolder, LogPosition> received() {
            return statuses.entrySet().stream()
                    .collect(Collectors.toUnmodifiableMap(
                            Map.Entry::getKey, answer -> answer.getValue().received()));
        }

        /** Returns the highest term that was reported; -1 if there was no answer. */
        long latestTerm() {
            return statuses.values().stream()
                    .mapToLong(ReplicationStatus::term)
                    .max()
                    .orElse(-1);
        }
    }
}
