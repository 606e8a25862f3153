package org.hyssopswitch.bench.slope;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Slopes by name; written as comma-separated values, one line for each sample. */
public final class SlopeTable {

    private static final String HEADING = "id,quantity,per,size,value";

    private final Map<String, Slope> slopes = new LinkedHashMap<>();

    /**
     * Creates a table.
     *
     * @param slopes the slopes
     */
    public SlopeTable(Collection<Slope> slopes) {
        slopes.forEach(s -> this.slopes.put(s.id(), s));
    }

    /** The slopes in order. */
    public Collection<Slope> slopes() {
        return slopes.values();
    }

    /**
     * Finds a slope; empty when it has not been measured.
     *
     * @param id the name
     */
    public Optional<Slope> find(String id) {
        return Optional.ofNullable(slopes.get(id));
    }

    /** The lines of the file. */
    public List<String> encode() {
        List<String> lines = new ArrayList<>();
        lines.add(HEADING);
        for (Slope slope : slopes.values()) {
            for (Sample sample : slope.samples()) {
                lines.add(String.format(
                        Locale.ROOT,
                        "%s,%s,%s,%s,%s",
                        slope.id(),
                        slope.quantity(),
                        slope.per(),
                        number(sample.size()),
                        number(sample.value())));
            }
        }
        return lines;
    }

    /**
     * Reads the lines of a file.
     *
     * @param lines the lines
     */
    public static SlopeTable decode(List<String> lines) {
        if (lines.isEmpty() || !lines.get(0).equals(HEADING)) {
            throw new IllegalArgumentException("the first line of a slope file must be '" + HEADING + "'");
        }
        Map<String, List<String[]>> rows = new LinkedHashMap<>();
        for (String line : lines.subList(1, lines.size())) {
            String[] fields = line.split(",", -1);
            if (fields.length != 5) {
                throw new IllegalArgumentException("a line of a slope file must have 5 fields, but is '" + line + "'");
            }
            rows.computeIfAbsent(fields[0], id -> new ArrayList<>()).add(fields);
        }
        return new SlopeTable(rows.entrySet().stream()
                .map(e -> new Slope(
                        e.getKey(),
                        e.getValue().get(0)[1],
                        e.getValue().get(0)[2],
                        e.getValue().stream()
                                .map(f -> new Sample(Double.parseDouble(f[3]), Double.parseDouble(f[4])))
                                .toList()))
                .toList());
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.6g", value);
    }
}
