package org.hyssopswitch.pool.vm;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;

/** Formats the metrics of a registry in the text exposition format, one line per value. */
public final class MetricsText {

    private static final String PREFIX = "hyssopswitch_";

    private MetricsText() {}

    /**
     * Returns all counters, gauges and histograms as text.
     *
     * @param registry the metrics
     */
    public static String of(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getCounters().forEach((name, counter) -> line(text, name, "", counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> {
            if (gauge.getValue() instanceof Number number) {
                line(text, name, "", number);
            }
        });
        registry.getHistograms().forEach((name, histogram) -> histogram(text, name, histogram));
        return text.toString();
    }

    private static void histogram(StringBuilder text, String name, Histogram histogram) {
        Snapshot values = histogram.getSnapshot();
        line(text, name + "_count", "", histogram.getCount());
        line(text, name, "{quantile=\"0.5\"}", values.getMedian());
        line(text, name, "{quantile=\"0.99\"}", values.get99thPercentile());
        line(text, name, "{quantile=\"1\"}", values.getMax());
    }

    private static void line(StringBuilder text, String name, String labels, Number value) {
        String metric = name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
        text.append(PREFIX)
                .append(metric)
                .append(labels)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
