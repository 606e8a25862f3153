package org.hyssopswitch.bench.configuration;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;

/** Prints the bytes and rounds by which different ways bring one VM up to date after a change. */
public final class ConfigurationExchange {

    private static final long SEED = 20_261_203;
    private static final int TEAMS = 20;
    private static final int SAMPLES = 40;
    private static final List<Integer> DATABASES = List.of(3, 30, 300);
    private static final int[] CHANGES = {1, 5};

    private ConfigurationExchange() {}

    /**
     * Runs the measurement.
     *
     * @param args unused
     */
    public static void main(String[] args) {
        print(System.out, DATABASES, SAMPLES);
    }

    /**
     * Prints the table.
     *
     * @param out takes the table
     * @param sizes numbers of databases of a team
     * @param samples number of changes
     */
    public static void print(PrintStream out, List<Integer> sizes, int samples) {
        out.printf("seed %d, %d teams, mean of %d changes%n", SEED, TEAMS, samples);
        out.printf(
                "| databases of a team | accounts changed | way | rounds | bytes | of the least |%n|---|---|---|---|---|---|%n");
        for (int databases : sizes) {
            for (int changes : CHANGES) {
                printCase(out, databases, changes, samples);
            }
        }
    }

    private static void printCase(PrintStream out, int databases, int changes, int count) {
        List<ExchangeSample> samples = samples(databases, changes, count);
        List<ExchangeMethod> methods = ExchangeMethods.all();
        double[] means = methods.stream()
                .mapToDouble(m -> samples.stream().mapToLong(m::bytes).average().orElse(0))
                .toArray();
        double least = java.util.Arrays.stream(means).min().orElse(1);
        for (int i = 0; i < means.length; i++) {
            out.printf(
                    Locale.ROOT,
                    "| %d | %d | %s | %d | %.0f | %.1f |%n",
                    databases,
                    changes,
                    methods.get(i).label(),
                    methods.get(i).rounds(),
                    means[i],
                    means[i] / least);
        }
    }

    private static List<ExchangeSample> samples(int databases, int changes, int count) {
        SampleTeams teams = new SampleTeams(SEED + databases);
        TeamConfigurationCodec codec = new TeamConfigurationCodec();
        List<byte[]> others = new ArrayList<>();
        for (int i = 1; i < TEAMS; i++) {
            others.add(codec.encode(teams.create("team-" + i, databases)));
        }
        TeamConfiguration team = teams.create("team-0", databases);
        List<ExchangeSample> result = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TeamConfiguration next = teams.change(team, changes);
            result.add(new ExchangeSample(others, codec.encode(team), codec.encode(next)));
            team = next;
        }
        return result;
    }
}
