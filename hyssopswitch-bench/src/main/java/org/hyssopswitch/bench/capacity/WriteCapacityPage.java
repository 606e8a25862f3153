package org.hyssopswitch.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.hyssopswitch.bench.slope.SlopeTable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Writes the capacity page from the committed slopes and the users' numbers. */
@Command(
        name = "hyssop-capacity",
        mixinStandardHelpOptions = true,
        description = "Computes the capacity page from measured slopes.")
public final class WriteCapacityPage implements Callable<Integer> {

    @Option(names = "--slopes", description = "Measured samples.", defaultValue = "docs/capacity/slopes.csv")
    private Path slopes;

    @Option(names = "--target", description = "The users' numbers.", defaultValue = "docs/capacity/target.csv")
    private Path target;

    @Option(names = "--output", description = "Page to write.", defaultValue = "docs/CAPACITY.md")
    private Path output;

    /** Creates the command. */
    public WriteCapacityPage() {}

    /**
     * Runs the command.
     *
     * @param args its arguments
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new WriteCapacityPage()).execute(args));
    }

    @Override
    public Integer call() throws IOException {
        SlopeTable table = SlopeTable.decode(Files.readAllLines(slopes));
        Files.write(output, new CapacityPage(table, new Target(Files.readAllLines(target))).lines());
        return 0;
    }
}
