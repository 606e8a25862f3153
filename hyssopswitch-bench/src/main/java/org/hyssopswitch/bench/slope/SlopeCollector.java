package org.hyssopswitch.bench.slope;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the samples of several quantities that are measured at the same sizes. */
final class SlopeCollector {

    private final String per;
    private final Map<String, String> quantities = new LinkedHashMap<>();
    private final Map<String, List<Sample>> samples = new LinkedHashMap<>();

    SlopeCollector(String per) {
        this.per = per;
    }

    void add(String id, String quantity, double size, double value) {
        quantities.put(id, quantity);
        samples.computeIfAbsent(id, i -> new ArrayList<>()).add(new Sample(size, value));
    }

    List<Slope> slopes() {
        return quantities.entrySet().stream()
                .map(e -> new Slope(e.getKey(), e.getValue(), per, samples.get(e.getKey())))
                .toList();
    }
}
