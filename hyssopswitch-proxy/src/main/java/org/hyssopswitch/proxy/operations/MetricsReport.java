package org.hyssopswitch.proxy.operations;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.TreeMap;

/** The metrics of a registry as a tree of plain values. */
final class MetricsReport {

    private MetricsReport() {}

    static Map<String, Object> of(MetricRegistry metrics) {
        Map<String, Object> counters = new TreeMap<>();
        metrics.getCounters().forEach((name, c) -> counters.put(name, c.getCount()));
        metrics.getMeters().forEach((name, m) -> counters.put(name, m.getCount()));
        Map<String, Object> gauges = new TreeMap<>();
        metrics.getGauges().forEach((name, g) -> gauges.put(name, String.valueOf(g.getValue())));
        Map<String, Object> histograms = new TreeMap<>();
        metrics.getHistograms().forEach((name, h) -> histograms.put(name, histogram(h)));
        return Map.of("counters", counters, "gauges", gauges, "histograms", histograms);
    }

    private static Map<String, Object> histogram(Histogram histogram) {
        Snapshot values = histogram.getSnapshot();
        Map<String, Object> report = new TreeMap<>();
        report.put("count", histogram.getCount());
        report.put("min", values.getMin());
        report.put("mean", values.getMean());
        report.put("p50", values.getMedian());
        report.put("p95", values.get95thPercentile());
        report.put("p99", values.get99thPercentile());
        report.put("p999", values.get999thPercentile());
        report.put("max", values.getMax());
        return report;
    }
}
