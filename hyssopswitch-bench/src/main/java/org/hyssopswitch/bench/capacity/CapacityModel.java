package org.hyssopswitch.bench.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;
import org.hyssopswitch.bench.slope.LinearFit;
import org.hyssopswitch.bench.slope.Sample;
import org.hyssopswitch.bench.slope.SlopeTable;

/** Computes the lines of one or more roles from the slopes and the target. */
abstract class CapacityModel {

    static final double BYTES_PER_MB = 1e6;
    static final double MILLIS_PER_SECOND = 1e3;

    private final SlopeTable slopes;
    private final Target target;
    private final List<CapacityLine> lines = new ArrayList<>();

    CapacityModel(SlopeTable slopes, Target target) {
        this.slopes = slopes;
        this.target = target;
    }

    /** Computes the lines. */
    List<CapacityLine> lines() {
        lines.clear();
        compute();
        return List.copyOf(lines);
    }

    abstract void compute();

    Target target() {
        return target;
    }

    /** The fitted value of a slope at a size, or the mean when it does not grow; never below 0. */
    double at(String id, double size) {
        LinearFit fit = fit(id);
        if (!fit.grows()) {
            return slopes.find(id).orElseThrow().samples().stream()
                    .mapToDouble(Sample::value)
                    .average()
                    .orElse(0);
        }
        return Math.max(0, fit.at(size));
    }

    /** The slope alone; 0 when it does not grow. */
    double each(String id) {
        return fit(id).grows() ? Math.max(0, fit(id).slope()) : 0;
    }

    /** Bytes a second of control that a VM may use. */
    OptionalDouble bytesLimit() {
        return OptionalDouble.of(target.get("control_bytes_per_second"));
    }

    /** Milliseconds of processor time a second of control that a VM may use. */
    OptionalDouble processorLimit() {
        return OptionalDouble.of(target.get("control_core_percent") / 100 * MILLIS_PER_SECOND);
    }

    /** Megabytes of control that a VM may use. */
    OptionalDouble memoryLimit() {
        return OptionalDouble.of(target.get("control_memory_mb"));
    }

    OptionalDouble limit(String name) {
        return OptionalDouble.of(target.get(name));
    }

    static OptionalDouble noLimit() {
        return OptionalDouble.empty();
    }

    /** Adds a line whose value is known when all its slopes are. */
    void add(Text text, DoubleSupplier value, OptionalDouble limit, String... ids) {
        boolean known = Arrays.stream(ids).allMatch(id -> slopes.find(id).isPresent());
        OptionalDouble computed = known && ids.length > 0 ? OptionalDouble.of(value.getAsDouble()) : noLimit();
        lines.add(new CapacityLine(
                text.role(),
                text.subject(),
                text.mechanism(),
                text.unit(),
                computed,
                limit,
                List.of(ids),
                text.remedy()));
    }

    private LinearFit fit(String id) {
        return slopes.find(id).orElseThrow().fit();
    }

    /** The words of a line. */
    record Text(String role, String subject, String mechanism, String unit, String remedy) {}
}
