package org.hyssopswitch.bench.capacity;

import java.util.List;
import org.hyssopswitch.bench.slope.SlopeTable;

/** What the roles of a VM cost while nothing fails; every VM plays all of them. */
final class RoleModel extends CapacityModel {

    private static final String BYTES = "bytes/s";
    private static final String MILLIS = "ms/s";
    private static final String MEGABYTES = "MB";

    RoleModel(SlopeTable slopes, Target target) {
        super(slopes, target);
    }

    @Override
    void compute() {
        member();
        entry();
        home();
        relay();
        catchUps();
        orderer();
        holder();
        tables();
        statements();
    }

    private void member() {
        double cell = target().vmsPerCell();
        add(
                new Text(
                        "member",
                        "heartbeats and view comparisons of a cell",
                        "sampled heartbeats, fixed fanout",
                        BYTES,
                        ""),
                () -> at("cell.membership.bytes", cell),
                bytesLimit(),
                "cell.membership.bytes");
        add(
                new Text(
                        "member",
                        "views of the other cells of the data centre",
                        "one request per cell in use",
                        BYTES,
                        ""),
                () -> each("cells.membership.bytes") * (target().cellsPerDataCentre() - 1),
                bytesLimit(),
                "cells.membership.bytes");
        add(
                new Text(
                        "member",
                        "tick and messages of all systems in a cell",
                        "tables are bounded by the cell",
                        MILLIS,
                        "keep sorted member lists between changes of the view"),
                () -> at("cell.processor", cell),
                processorLimit(),
                "cell.processor");
        add(
                new Text("member", "lists of VMs, whole fleet", "period grows with the fleet", "calls/s", ""),
                () -> at("fleet.lists", target().get("nodes")),
                limit("platform_reads_per_second"),
                "fleet.lists");
    }

    private void entry() {
        add(
                new Text(
                        "entry",
                        "hints for every database in use, at most one per connection",
                        "subscription per endpoint, hints at least once a second",
                        BYTES,
                        "send unchanged hints every 10 s and let answers carry positions; route the callers of a database "
                                + "to few VMs, so that fewer databases are in use on each"),
                () -> each("use.database.bytes") * target().databasesInUse(),
                bytesLimit(),
                "use.database.bytes");
        add(
                new Text(
                        "entry",
                        "tick over the databases in use",
                        "one row per endpoint in use",
                        MILLIS,
                        "keep a queue ordered by due time in place of a pass over all rows at each tick"),
                () -> each("use.database.processor") * target().databasesInUse(),
                processorLimit(),
                "use.database.processor");
        add(
                new Text(
                        "entry",
                        "memory of sessions, " + Math.round(target().connectionsPerVm()) + " connections",
                        "one session per connection, buffers only while a cycle runs",
                        MEGABYTES,
                        ""),
                () -> each("memory.session") * target().connectionsPerVm() / BYTES_PER_MB,
                noLimit(),
                "memory.session");
    }

    private void home() {
        add(
                new Text(
                        "home",
                        "reports to the other homes of the group",
                        "batched per VM, once a second while calm",
                        BYTES,
                        ""),
                () -> at("home.bytes", target().endpointsPerVm()),
                bytesLimit(),
                "home.bytes");
        add(
                new Text("home", "polls and reports of homed endpoints", "status call per endpoint", MILLIS, ""),
                () -> each("home.processor") * target().endpointsPerVm(),
                processorLimit(),
                "home.processor");
    }

    private void relay() {
        double changes = target().perSecond("changes_per_day");
        add(
                new Text("relay", "announcements and queries", "two relays per cell, random queries", BYTES, ""),
                () -> at("cell.configuration.bytes", target().vmsPerCell()),
                bytesLimit(),
                "cell.configuration.bytes");
        add(
                new Text(
                        "relay",
                        "deltas of accepted changes",
                        "only changed subtrees travel, encoded against the former",
                        BYTES,
                        ""),
                () -> at("change.bytes", 4) * changes,
                bytesLimit(),
                "change.bytes");
        add(
                new Text(
                        "relay",
                        "taking changes into force with all databases declared",
                        "whole configuration is indexed again at each change",
                        MILLIS,
                        "index only the changed subtree"),
                () -> at("change.size.processor", target().get("databases")) * changes,
                processorLimit(),
                "change.size.processor");
        add(
                new Text(
                        "relay",
                        "one change taken into force on one VM, in the decision thread",
                        "whole configuration is indexed again at each change",
                        "ms",
                        "index only the changed subtree"),
                () -> at("change.size.processor", target().get("databases")),
                limit("change_ms"),
                "change.size.processor");
        add(
                new Text("relay", "watches of all relays", "two relays per cell, a watch waits 30 s", "calls/s", ""),
                () -> at("fleet.watches", target().get("nodes")) * target().cells(),
                limit("platform_reads_per_second"),
                "fleet.watches");
        add(
                new Text("relay", "watches answered by changes", "one watch per relay and change", "calls/s", ""),
                () -> at("change.fleet.watches", target().get("nodes")) * target().cells() * changes,
                limit("platform_reads_per_second"),
                "change.fleet.watches");
    }

    private void catchUps() {
        add(
                new Text(
                        "relay",
                        "full catch-ups of restarted VMs, served and taken",
                        "pages from peers, bounded rate",
                        BYTES,
                        ""),
                () -> 2
                        * at("catchup.bytes", target().get("databases"))
                        * target().perSecond("restarts_per_day")
                        / target().get("nodes"),
                bytesLimit(),
                "catchup.bytes");
        add(
                new Text(
                        "relay",
                        "full catch-up of one restarted VM, processor time before it serves",
                        "pages are decoded and indexed in the decision thread",
                        "ms",
                        "decode pages on another thread, and only the subtrees that the VM's cell or callers use"),
                () -> at("catchup.processor", target().get("databases")),
                limit("change_ms"),
                "catchup.processor");
    }

    private void orderer() {
        double changes = target().perSecond("primary_changes_per_day");
        add(
                new Text(
                        "orderer",
                        "messages of the fleet for a promotion",
                        "only homes of the group take part",
                        "messages",
                        ""),
                () -> each("promotion.messages"),
                noLimit(),
                "promotion.messages");
        add(
                new Text(
                        "orderer",
                        "platform calls for promotions",
                        "one lease read and update per promotion",
                        "calls/s",
                        ""),
                () -> each("promotion.calls") * changes,
                limit("platform_writes_per_second"),
                "promotion.calls");
        add(
                new Text(
                        "orderer",
                        "promotion after the primary falls silent",
                        "three homes, a majority of reports",
                        "ms",
                        ""),
                () -> at("promotion.duration", 1),
                limit("primary_change_ms"),
                "promotion.duration");
        add(
                new Text("orderer", "bytes of promotions, per VM", "only homes of the group take part", BYTES, ""),
                () -> each("promotion.bytes") * changes / target().get("nodes"),
                bytesLimit(),
                "promotion.bytes");
    }

    private void holder() {
        add(
                new Text(
                        "share holder",
                        "renewals for every client account in use, at most one per connection",
                        "leases of up to 32 s, batched per lender",
                        BYTES,
                        "leases of up to 300 s once stable; report only what changed"),
                () -> each("use.account.bytes") * target().connectionsPerVm(),
                bytesLimit(),
                "use.account.bytes");
        add(
                new Text(
                        "share holder",
                        "tick over the accounts in use",
                        "pass over held shares four times a second",
                        MILLIS,
                        "keep a queue ordered by due time"),
                () -> each("use.account.processor") * target().connectionsPerVm(),
                processorLimit(),
                "use.account.processor");
        add(
                new Text(
                        "share holder",
                        "memory of ledgers and shares in use",
                        "one row per account in use",
                        MEGABYTES,
                        ""),
                () -> each("memory.share") * target().connectionsPerVm() / BYTES_PER_MB,
                memoryLimit(),
                "memory.share");
        add(
                new Text(
                        "share holder",
                        "platform calls while calm",
                        "ownership is written only when it changes",
                        "calls/s",
                        ""),
                () -> at("use.account.calls", target().connectionsPerVm()),
                limit("platform_writes_per_second"),
                "use.account.calls");
        add(
                new Text(
                        "share holder",
                        "slot take-overs of restarted VMs",
                        "one conditional update per owned slot",
                        "calls/s",
                        ""),
                () -> each("restart.updates") * target().slotsPerVm() * target().perSecond("restarts_per_day"),
                limit("platform_writes_per_second"),
                "restart.updates");
    }

    private void tables() {
        add(
                new Text(
                        "every VM",
                        "configuration of all databases",
                        "every VM holds the whole configuration",
                        MEGABYTES,
                        ""),
                () -> each("memory.database") * target().get("databases") / BYTES_PER_MB,
                memoryLimit(),
                "memory.database");
        add(
                new Text(
                        "every VM",
                        "configuration of one client account for each database",
                        "every VM holds the whole configuration",
                        MEGABYTES,
                        ""),
                () -> each("memory.account") * target().get("databases") / BYTES_PER_MB,
                memoryLimit(),
                "memory.account");
    }

    private void statements() {
        double statements = target().statementsPerVm() / 1e6;
        List<String> ids = List.of("statement.codec", "statement.queue", "statement.selection", "statement.admission");
        add(
                new Text(
                        "data plane",
                        "codec of request and answer, 256 bytes each, at entry and home",
                        "MessagePack frames",
                        "cores",
                        ""),
                () -> 2 * at("statement.codec", 256) * statements,
                noLimit(),
                "statement.codec");
        add(
                new Text("data plane", "admission, choice of the endpoint and queue", "tables by name", "cores", ""),
                () -> (each("statement.admission") * target().connectionsPerVm()
                                + at("statement.admission", 0)
                                + at("statement.selection", target().databasesInUse())
                                + at("statement.queue", 8))
                        * statements,
                noLimit(),
                ids.subList(1, 4).toArray(new String[0]));
    }
}
