package org.hyssopswitch.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.load.audit.Outcome;
import org.hyssopswitch.load.profile.AccountProfile;
import org.hyssopswitch.load.profile.LoadProfile;
import org.hyssopswitch.load.profile.Operation;
import org.hyssopswitch.wire.BackendFrames;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.postgresql.util.PSQLException;
import org.postgresql.util.ServerErrorMessage;

class LoadModelTests {

    private static final AccountProfile ACCOUNT = new AccountProfile("app", 10, 5, 100, 1);

    @ParameterizedTest
    @CsvSource({"maré-alta, recife, 2, 16, 12", "mare-alta, recife, 2, 16, 12", "pellets, temuco, 3, 34, 27"})
    void includesTheDeploymentsWithTheirSizes(String name, String first, int slots, int connections, long cost) {
        LoadProfile profile = LoadProfile.included(name);
        assertEquals(first, profile.deployment().dataCentres().get(0));
        assertEquals(3, profile.deployment().dataCentres().size());
        assertEquals(3, profile.deployment().databases().size());
        assertEquals(6, profile.deployment().vms());
        assertEquals(slots, profile.deployment().slots());
        assertEquals(connections, profile.deployment().connections());
        assertEquals(cost, profile.deployment().connectionCostMillis());
        assertEquals(8, profile.accounts().size());
    }

    @Test
    void refusesAnUnknownProfile() {
        assertThrows(HyssopException.class, () -> LoadProfile.included("other"));
    }

    @Test
    void scalesDemandButNotDeclaredRates() {
        LoadProfile profile = LoadProfile.included("pellets");
        LoadProfile scaled = profile.withDemandTimes(0.5);
        assertEquals(profile.demandPerSecond() / 2, scaled.demandPerSecond(), 1e-9);
        assertEquals(
                profile.accounts().get(0).ratePerSecond(),
                scaled.accounts().get(0).ratePerSecond());
    }

    @Test
    void repeatsArrivalsOfASeedAndKeepsTheirOrderAndRate() {
        List<Double> first = arrivals(7, 20_000);
        assertEquals(first, arrivals(7, 20_000));
        assertTrue(!first.equals(arrivals(8, 20_000)));
        assertEquals(first.stream().sorted().toList(), first);
        double perSecond = first.size() / (first.get(first.size() - 1) / 1e9);
        assertEquals(150, perSecond, 15);
    }

    @Test
    void drawsOnlyOperationsWithAWeight() {
        SplittableRandom random = new SplittableRandom(1);
        var traffic = LoadProfile.included("pellets").traffic();
        List<Operation> drawn =
                random.ints(5_000).mapToObj(i -> traffic.draw(random)).toList();
        for (Operation operation : Operation.values()) {
            double share = (double) drawn.stream().filter(operation::equals).count() / drawn.size();
            assertEquals(traffic.mix().get(operation) / 100, share, 0.03);
        }
    }

    @Property(seed = "42")
    void countsNoMoreThanRateAndBurstAsWithinRate(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 0, max = 300) Integer> pausesMillis) {
        RateMeter meter = new RateMeter(10, 5, 0);
        long now = 0;
        int within = 0;
        for (int pause : pausesMillis) {
            now += TimeUnit.MILLISECONDS.toNanos(pause);
            within += meter.send(now) ? 1 : 0;
        }
        assertTrue(within <= 5 + 10 * now / 1e9 + 1e-6);
    }

    @Test
    void givesTheTokenOfARefusedStatementBack() {
        RateMeter meter = new RateMeter(1, 1, 0);
        assertTrue(meter.send(0));
        assertEquals(false, meter.send(0));
        meter.refused();
        meter.refused();
        assertTrue(meter.send(0));
    }

    @Test
    void measuresTheLongestGapUpToTheEnd() {
        WriteGap gap = new WriteGap();
        gap.acknowledged(100);
        gap.acknowledged(110);
        gap.acknowledged(150);
        assertEquals(70, gap.endNanos(220));
        assertEquals(0, new WriteGap().endNanos(220));
    }

    @Test
    void countsARefusalAsWrongfulOnlyWithinTheRate() {
        AccountMeter meter = new AccountMeter(ACCOUNT, 0);
        meter.ended(Outcome.RATE_REFUSED, true, 0, 1);
        meter.ended(Outcome.RATE_REFUSED, false, 0, 1);
        meter.ended(Outcome.ACKNOWLEDGED, true, 0, 2_000_000);
        meter.notSent();
        assertEquals(1, meter.report().wrongful());
        assertEquals(0.25, meter.report().successShare());
        assertEquals(2.0, meter.report().latencyMillis(99), 0.01);
    }

    @ParameterizedTest
    @CsvSource({
        "53400, execution: not run, RATE_REFUSED",
        "57P03, execution: not run, NOT_RUN",
        "57P03, execution: outcome unknown, UNKNOWN",
        "08007, execution: outcome unknown, UNKNOWN",
        "40001, '', FAILED",
        "25006, execution: failed, FAILED",
    })
    void tellsFromAnErrorWhatIsKnownOfTheStatement(String sqlState, String detail, Outcome expected) {
        byte[] body = BackendFrames.errorResponse("ERROR", sqlState, "message", detail, "")
                .body();
        String fields = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
        assertEquals(expected, ErrorClass.outcome(new PSQLException(new ServerErrorMessage(fields))));
    }

    @Test
    void countsABrokenConnectionAsUnknown() {
        assertEquals(Outcome.UNKNOWN, ErrorClass.outcome(new SQLException("broken", "08006")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "--vms x",
                "--vms 127.0.0.1:0",
                "--vms 127.0.0.1:1 --profile other",
                "--vms 127.0.0.1:1 --duration 0",
                "--profile pellets",
                "--vms 127.0.0.1:1 --keys missing.yaml",
                "--vms 127.0.0.1:1 --rate much",
            })
    void refusesWrongOptions(String arguments) {
        assertEquals(2, LoadMain.execute(arguments.split(" ")));
    }

    private static List<Double> arrivals(long seed, int count) {
        AccountProfile other = new AccountProfile("other", 10, 5, 50, 1);
        ArrivalSchedule schedule = new ArrivalSchedule(List.of(ACCOUNT, other), new SplittableRandom(seed));
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            times.add(schedule.next().nanos());
        }
        return times;
    }
}
