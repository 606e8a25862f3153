package org.hyssopswitch.bench.slope;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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
        List<Slope> slopes = new ArrayList<>();
        for (Measurement measurement : measurements) {
            List<Slope> measured = measurement.measure();
            measured.forEach(MeasureSlopes::print);
            slopes.addAll(measured);
        }
        Files.createDirectories(output.toAbsolutePath().getParent());
        Files.write(output, new SlopeTable(slopes).encode());
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
