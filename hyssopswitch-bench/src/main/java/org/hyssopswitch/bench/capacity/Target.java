package org.hyssopswitch.bench.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.failure.HyssopException;

/** The users' numbers by name. */
public final class Target {

    private final Map<String, Double> values = new LinkedHashMap<>();
    private final Map<String, String> meanings = new LinkedHashMap<>();

    /**
     * Reads the lines of the file.
     *
     * @param lines name, value and meaning, after a heading
     */
    public Target(List<String> lines) {
        for (String line : lines.subList(1, lines.size())) {
            String[] fields = line.split(",", 3);
            values.put(fields[0], Double.parseDouble(fields[1]));
            meanings.put(fields[0], fields[2]);
        }
    }

    /**
     * A number.
     *
     * @param name its name
     */
    public double get(String name) {
        Double value = values.get(name);
        if (value == null) {
            throw new HyssopException("the target has no number named " + name);
        }
        return value;
    }

    /** The meanings by name. */
    public Map<String, String> meanings() {
        return meanings;
    }

    /** Cells of a data centre, as few as the bound allows. */
    public double cellsPerDataCentre() {
        return Math.ceil(vmsPerDataCentre() / get("vms_per_cell_max"));
    }

    /** VMs of a data centre, evenly spread. */
    public double vmsPerDataCentre() {
        return get("nodes") / get("data_centres");
    }

    /** VMs of a cell. */
    public double vmsPerCell() {
        return vmsPerDataCentre() / cellsPerDataCentre();
    }

    /** Cells of the fleet. */
    public double cells() {
        return cellsPerDataCentre() * get("data_centres");
    }

    /** Endpoints that a VM is home to. */
    public double endpointsPerVm() {
        return get("databases") * get("endpoints_per_database") / get("nodes");
    }

    /** Client connections of a VM. */
    public double connectionsPerVm() {
        return get("connections") / get("nodes");
    }

    /** Databases in use on a VM when each of its connections uses another one, which is the most there can be. */
    public double databasesInUse() {
        return Math.min(get("databases"), connectionsPerVm());
    }

    /** Statements a second that a VM takes from callers. */
    public double statementsPerVm() {
        return get("statements_per_second") / get("nodes");
    }

    /** Slots that a VM owns. */
    public double slotsPerVm() {
        return get("slots_per_data_centre") / vmsPerDataCentre();
    }

    /** A number of events a day as events a second. */
    public double perSecond(String perDay) {
        return get(perDay) / 86_400;
    }
}
