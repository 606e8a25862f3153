package org.hyssopswitch.bench.slope;

import java.util.List;
import java.util.stream.Stream;
import org.hyssopswitch.bench.fleet.Fleet;
import org.hyssopswitch.bench.fleet.FleetShape;
import org.hyssopswitch.bench.fleet.FleetVm;

/** Control traffic and processor time of idle fleets: by size of a cell, by size of the fleet, by homed endpoints. */
public final class FleetMeasurement implements Measurement {

    private static final long SETTLE_MILLIS = 15_000;
    private static final long RUN_MILLIS = 20_000;
    private static final long LISTS_MILLIS = 80_000;
    private static final double SECONDS = RUN_MILLIS / 1_000.0;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Creates the measurement. */
    public FleetMeasurement() {}

    @Override
    public List<Slope> measure() {
        return Stream.of(byCellSize(), byCells(), lists(), byFleetSize(), byEndpoints())
                .flatMap(List::stream)
                .toList();
    }

    private static List<Slope> byCellSize() {
        SlopeCollector collector = new SlopeCollector("VM of the cell");
        for (int size : new int[] {8, 16, 32, 48}) {
            Fleet fleet = run(new FleetShape(1, 1, size, 4, 1));
            double bytes = fleet.mean(v -> v.traffic().bytes("membership")) / SECONDS;
            double messages = fleet.mean(v -> v.traffic().messages("membership")) / SECONDS;
            collector.add("cell.membership.bytes", "bytes/s of a VM", size, bytes);
            collector.add("cell.membership.messages", "messages/s of a VM", size, messages);
            collector.add("cell.membership.heartbeat", "bytes of a heartbeat", size, bytes / messages);
            collector.add(
                    "cell.configuration.bytes",
                    "bytes/s of a VM",
                    size,
                    fleet.mean(v -> v.traffic().bytes("configuration")) / SECONDS);
            collector.add("cell.processor", "ms/s of a VM", size, processor(fleet));
            collector.add("cell.watches", "platform watches/s of a cell", size, calls(fleet, "watch"));
        }
        return collector.slopes();
    }

    /** The fleet grows by data centres; every VM is home to as many endpoints at each size. */
    private static List<Slope> byFleetSize() {
        SlopeCollector collector = new SlopeCollector("VM of the fleet");
        for (int dataCentres : new int[] {6, 12, 18, 24}) {
            FleetShape shape = new FleetShape(dataCentres, 1, 8, 4 * dataCentres, 1);
            Fleet fleet = run(shape);
            int size = shape.vms();
            collector.add(
                    "fleet.bytes",
                    "bytes/s of a VM",
                    size,
                    fleet.mean(v -> v.traffic().bytes("")) / SECONDS);
            collector.add(
                    "fleet.messages",
                    "messages/s of a VM",
                    size,
                    fleet.mean(v -> v.traffic().messages("")) / SECONDS);
            collector.add(
                    "fleet.calls",
                    "platform reads and updates/s of the fleet",
                    size,
                    calls(fleet, "read") + calls(fleet, "update"));
            collector.add("fleet.watches", "platform watches/s of a cell", size, calls(fleet, "watch") / dataCentres);
        }
        return collector.slopes();
    }

    /** Runs for several of the longest periods between lists. */
    private static List<Slope> lists() {
        SlopeCollector collector = new SlopeCollector("VM of the fleet");
        for (int dataCentres : new int[] {1, 2, 3, 4}) {
            FleetShape shape = new FleetShape(dataCentres, 1, 4, 4, 1);
            Fleet fleet = new Fleet(shape, 1);
            fleet.run(SETTLE_MILLIS);
            fleet.clear();
            fleet.run(LISTS_MILLIS);
            double lists = calls(fleet, "list") * RUN_MILLIS / LISTS_MILLIS;
            collector.add("fleet.lists", "platform lists/s of the fleet", shape.vms(), lists);
        }
        return collector.slopes();
    }

    private static List<Slope> byCells() {
        SlopeCollector collector = new SlopeCollector("cell of the data centre");
        for (int cells : new int[] {1, 2, 3, 4}) {
            Fleet fleet = run(new FleetShape(1, cells, 8, 4 * cells, 1));
            collector.add(
                    "cells.membership.bytes",
                    "bytes/s of a VM",
                    cells,
                    fleet.mean(v -> v.traffic().bytes("membership")) / SECONDS);
            collector.add("cells.processor", "ms/s of a VM", cells, processor(fleet));
        }
        return collector.slopes();
    }

    private static List<Slope> byEndpoints() {
        SlopeCollector collector = new SlopeCollector("endpoint homed on the VM");
        int vms = 6;
        for (int databases : new int[] {8, 16, 32, 64}) {
            Fleet fleet = run(new FleetShape(3, 1, vms / 3, databases, 1));
            double size = databases * 3.0 / vms;
            collector.add(
                    "home.bytes",
                    "bytes/s of a VM",
                    size,
                    fleet.mean(v -> v.traffic().bytes("failover")) / SECONDS);
            collector.add(
                    "home.messages",
                    "messages/s of a VM",
                    size,
                    fleet.mean(v -> v.traffic().messages("failover")) / SECONDS);
            collector.add("home.processor", "ms/s of a VM", size, processor(fleet));
        }
        return collector.slopes();
    }

    private static Fleet run(FleetShape shape) {
        Fleet fleet = new Fleet(shape, 1);
        fleet.run(SETTLE_MILLIS);
        fleet.clear();
        fleet.run(RUN_MILLIS);
        return fleet;
    }

    private static double processor(Fleet fleet) {
        return fleet.mean(FleetVm::nanos) / NANOS_PER_MILLI / SECONDS;
    }

    private static double calls(Fleet fleet, String kind) {
        return fleet.vms().stream().mapToLong(v -> v.traffic().calls(kind)).sum() / SECONDS;
    }
}
