package org.hyssopswitch.bench.capacity;

import org.hyssopswitch.bench.slope.SlopeTable;

/** What the worst minutes cost. */
final class StormModel extends CapacityModel {

    private static final double STORM_SECONDS = 60;

    StormModel(SlopeTable slopes, Target target) {
        super(slopes, target);
    }

    @Override
    void compute() {
        starts("a whole data centre returns", target().vmsPerDataCentre());
        starts("600 VMs restart in one minute", target().get("restart_storm_vms"));
        platformAway();
        regionsApart();
    }

    private void starts(String event, double vms) {
        double slots = vms * target().slotsPerVm();
        add(
                new Text(
                        event,
                        "platform reads and watches, spread over a minute",
                        "jittered starts, candidates only",
                        "calls/s",
                        ""),
                () -> each("restart.reads") * slots / STORM_SECONDS,
                limit("platform_reads_per_second"),
                "restart.reads");
        add(
                new Text(
                        event,
                        "platform updates, spread over a minute",
                        "one conditional update per owned slot",
                        "calls/s",
                        ""),
                () -> each("restart.updates") * slots / STORM_SECONDS,
                limit("platform_writes_per_second"),
                "restart.updates");
        add(
                new Text(
                        event,
                        "bytes of full catch-ups, taken by each VM",
                        "pages from peers; 4 MB/s served by each",
                        "MB",
                        ""),
                () -> at("catchup.bytes", target().get("databases")) / BYTES_PER_MB,
                noLimit(),
                "catchup.bytes");
        add(
                new Text(
                        event,
                        "processor time until a VM serves",
                        "pages are decoded and indexed in the decision thread",
                        "ms",
                        "decode pages on another thread, and only the subtrees that the VM's cell or callers use"),
                () -> at("catchup.processor", target().get("databases")),
                limit("change_ms"),
                "catchup.processor");
    }

    private void platformAway() {
        String event = "the platform is away for an hour and comes back";
        add(
                new Text(event, "calls while away", "exponential backoff with jitter", "calls/s", ""),
                () -> at("outage.calls", target().cells()),
                limit("platform_reads_per_second"),
                "outage.calls");
        add(
                new Text(
                        event,
                        "calls in the busiest second after",
                        "jittered backoff, two relays per cell",
                        "calls/s",
                        ""),
                () -> at("outage.peak", target().cells()),
                limit("platform_reads_per_second"),
                "outage.peak");
        add(
                new Text(event, "changes to catch up", "none can be accepted while it is away", "changes", ""),
                () -> 0 * each("outage.calls"),
                noLimit(),
                "outage.calls");
    }

    private void regionsApart() {
        String event = "two regions part for an hour and meet";
        double changes = target().perSecond("changes_per_day") * target().get("regions_apart_s");
        add(
                new Text(event, "bytes of the changes that a VM lacks", "only changed subtrees travel", "bytes", ""),
                () -> at("change.bytes", 4) * changes,
                noLimit(),
                "change.bytes");
        add(
                new Text(
                        event,
                        "processor time to take them, one by one",
                        "whole configuration is indexed again at each change",
                        "ms",
                        "apply a page as one version; index only the changed subtrees"),
                () -> at("change.size.processor", target().get("databases")) * changes,
                limit("change_ms"),
                "change.size.processor");
    }
}
