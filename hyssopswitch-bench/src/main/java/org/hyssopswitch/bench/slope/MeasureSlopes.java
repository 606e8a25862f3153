package org.hyssopswitch.bench.slope;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures all slopes, prints each with its fit and error, and writes the samples to a file. */
@Command(
        name = "hyssop-slopes",
        mixinStandardHelpOptions = true,
        description = "Measures the slopes that the capacity page is computed from.")
public final class MeasureSlopes implements Callable<Integer> {

    @Option(names = "--output", description = "File to write.", defaultValue = "docs/capacity/slopes.csv")
    private Path output;

    @Option(names = "--only", description = "Name of one group to measure again; the others are kept.")
    private String only = "";

    /** Creates the command. */
    public MeasureSlopes() {}

    /**
     * Runs the command.
     *
     * @param args its arguments
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new MeasureSlopes()).execute(args));
    }

    @Override
    public Integer call() throws IOException {
        List<Measurement> measurements = List.of(
                new FleetMeasurement(),
                new CallerMeasurement(),
                new ChangeMeasurement(),
                new PromotionMeasurement(),
                new StormMeasurement(),
                new StatementMeasurement(),
                new MemoryMeasurement());
        Map<String, Slope> slopes = new LinkedHashMap<>();
        if (!only.isEmpty()) {
            SlopeTable.decode(Files.readAllLines(output)).slopes().forEach(s -> slopes.put(s.id(), s));
        }
        for (Measurement measurement : measurements) {
            if (!measurement.getClass().getSimpleName().startsWith(only)) {
                continue;
            }
            List<Slope> measured = measurement.measure();
            measured.forEach(MeasureSlopes::print);
            measured.forEach(s -> slopes.put(s.id(), s));
        }
        Files.createDirectories(output.toAbsolutePath().getParent());
        Files.write(output, new SlopeTable(slopes.values()).encode());
        return 0;
    }

    private static void print(Slope slope) {
        LinearFit fit = slope.fit();
        System.out.printf(
                "%s: %s = %.4g + %.4g (error %.2g) per %s, residual %.2g, %d sizes%n",
                slope.id(),
                slope.quantity(),
                fit.intercept(),
                fit.slope(),
                fit.slopeError(),
                slope.per(),
                fit.residual(),
                slope.samples().size());
    }
}
