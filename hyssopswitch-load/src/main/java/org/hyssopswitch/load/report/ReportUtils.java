package org.hyssopswitch.load.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.load.audit.FindingKind;
import org.hyssopswitch.load.audit.Outcome;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.CategorySeries;

/** Writes reports. */
public final class ReportUtils {

    private static final List<Double> PERCENTILES = List.of(50.0, 90.0, 99.0, 99.9);
    private static final int WIDTH_PIXELS = 1_200;
    private static final int HEIGHT_PIXELS = 600;

    private ReportUtils() {}

    /**
     * The report as text.
     *
     * @param report the report
     */
    public static String text(LoadReport report) {
        StringBuilder text = new StringBuilder();
        line(
                text,
                "profile %s, seed %d, %.1f s, %d operations",
                report.profile(),
                report.seed(),
                report.seconds(),
                report.arrived());
        line(
                text,
                "%-20s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s",
                "client account",
                "arrived",
                "success",
                "refused",
                "wrongful",
                "not run",
                "failed",
                "unknown",
                "not sent",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "max ms");
        report.accounts()
                .forEach(a -> line(
                        text,
                        "%-20s %8d %7.2f%% %8d %8d %8d %8d %8d %8d %8.1f %8.1f %8.1f %8.1f",
                        a.account(),
                        a.arrived(),
                        100 * a.successShare(),
                        a.count(Outcome.RATE_REFUSED),
                        a.wrongful(),
                        a.count(Outcome.NOT_RUN),
                        a.count(Outcome.FAILED),
                        a.count(Outcome.UNKNOWN),
                        a.notSent(),
                        a.latencyMillis(50),
                        a.latencyMillis(99),
                        a.latencyMillis(99.9),
                        a.latencyMillis(100)));
        line(text, "reads by role: %s", new TreeMap<>(report.readsByRole()));
        line(text, "share of reads served by replicas: %.1f%%", 100 * report.replicaReadShare());
        new TreeMap<>(report.failoverGapMillis())
                .forEach((db, gap) ->
                        line(text, "longest interval without an acknowledged write, %s: %.0f ms", db, gap));
        AccountReport worst = report.worstServed();
        line(
                text,
                "worst-served client account: %s, %.2f%% successful, p99 %.1f ms",
                worst.account(),
                100 * worst.successShare(),
                worst.latencyMillis(99));
        line(text, "wrongful refusals: %d of %d", report.wrongfulRefusals(), report.arrived());
        audit(text, report);
        return text.toString();
    }

    /**
     * The report as CSV, one line for each client account.
     *
     * @param report the report
     */
    public static String csv(LoadReport report) {
        StringBuilder csv =
                new StringBuilder("account,arrived,acknowledged,rate_refused,wrongful,not_run,failed,unknown,"
                        + "not_sent,p50_ms,p90_ms,p99_ms,p99_9_ms,max_ms\n");
        for (AccountReport a : report.accounts()) {
            csv.append(String.format(
                    Locale.ROOT,
                    "%s,%d,%d,%d,%d,%d,%d,%d,%d",
                    a.account(),
                    a.arrived(),
                    a.count(Outcome.ACKNOWLEDGED),
                    a.count(Outcome.RATE_REFUSED),
                    a.wrongful(),
                    a.count(Outcome.NOT_RUN),
                    a.count(Outcome.FAILED),
                    a.count(Outcome.UNKNOWN),
                    a.notSent()));
            PERCENTILES.forEach(p -> csv.append(String.format(Locale.ROOT, ",%.3f", a.latencyMillis(p))));
            csv.append(String.format(Locale.ROOT, ",%.3f%n", a.latencyMillis(100)));
        }
        return csv.toString();
    }

    /**
     * Writes {@code report.txt}, {@code report.csv} and {@code latency.png}.
     *
     * @param report the report
     * @param directory directory to write to, created when missing
     */
    public static void write(LoadReport report, Path directory) {
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve("report.txt"), text(report));
            Files.writeString(directory.resolve("report.csv"), csv(report));
            BitmapEncoder.saveBitmap(
                    chart(report), directory.resolve("latency.png").toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new HyssopException("the report cannot be written to " + directory, e);
        }
    }

    private static CategoryChart chart(LoadReport report) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title("Latency of acknowledged operations, " + report.profile())
                .xAxisTitle("client account")
                .yAxisTitle("ms, logarithmic")
                .build();
        chart.getStyler().setYAxisLogarithmic(true);
        chart.getStyler().setDefaultSeriesRenderStyle(CategorySeries.CategorySeriesRenderStyle.Scatter);
        List<String> names =
                report.accounts().stream().map(AccountReport::account).toList();
        for (double percentile : PERCENTILES) {
            List<Double> values = report.accounts().stream()
                    .map(a -> Math.max(0.01, a.latencyMillis(percentile)))
                    .toList();
            chart.addSeries("p" + percentile, names, values);
        }
        return chart;
    }

    private static void audit(StringBuilder text, LoadReport report) {
        for (FindingKind kind : FindingKind.values()) {
            line(
                    text,
                    "audit %s: %d",
                    kind.name().toLowerCase(Locale.ROOT),
                    report.breaches().getOrDefault(kind, 0L));
        }
        report.findings().forEach(f -> line(text, "  %s: %s", f.kind(), f.detail()));
        if (!report.unaudited().isEmpty()) {
            line(text, "ledgers that could not be read: %s", report.unaudited());
        }
    }

    private static void line(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }
}
