package org.hyssopswitch.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs a fleet of VMs under virtual time with random faults. Guards against more admissions than rate and burst over
 * all VMs together, and against refusals of statements that are within them while sessions roam.
 */
class LimitFaultTests {

    private static final LimitSettings SHORT_LEASES = new LimitSettings(8, 2_000, 6_000, 100, 20, 3_000, 250, 16);
    private static final LimitLoad.Shape OVERLOAD = new LimitLoad.Shape(3, 1, 0.7);
    private static final LimitLoad.Shape ROAMING = new LimitLoad.Shape(0.7, 4, 0.5);
    private static final long FAULT_MILLIS = 40_000;
    private static final double MAX_WRONGFUL_REFUSAL_RATIO = 0.001;

    @Property(tries = 60, seed = "20")
    void neverAdmitsMoreThanRateAndBurstUnderFaults(@ForAll long seed) {
        assertEquals(List.of(), faultRun(seed, LimitMutation.NONE), "seed " + seed);
    }

    @ParameterizedTest
    @EnumSource(value = LimitMutation.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void auditDetectsInjectedDefect(LimitMutation mutation) {
        boolean detected = false;
        for (long seed = 1; seed <= 60 && !detected; seed++) {
            detected = !faultRun(seed, mutation).isEmpty();
        }
        assertTrue(detected, mutation + " went unnoticed");
    }

    @Test
    void rarelyRefusesInRateStatementsOfRoamingSessions() {
        LimitFleet fleet = fleet(3, 2, LimitSettings.DEFAULT, LimitMutation.NONE, 7);
        LimitLoad load = new LimitLoad(fleet, rates(), ROAMING, 7);
        run(fleet, load, 20_000);
        load.reset();
        run(fleet, load, 120_000);
        print("roaming", fleet, load);
        assertTrue(
                load.wrongfulRefusals() < MAX_WRONGFUL_REFUSAL_RATIO, "wrongful refusals " + load.wrongfulRefusals());
    }

    @Test
    void servesFromLocalPartWhileDataCentreIsPartitioned() {
        LimitFleet fleet = fleet(3, 2, LimitSettings.DEFAULT, LimitMutation.NONE, 8);
        LimitLoad load = new LimitLoad(fleet, rates(), new LimitLoad.Shape(0.5, 4, 0.5), 8);
        run(fleet, load, 20_000);
        load.reset();
        fleet.setPartitioned(new DataCentreId("dc0"), new DataCentreId("dc1"), true);
        fleet.setPartitioned(new DataCentreId("dc0"), new DataCentreId("dc2"), true);
        fleet.platform().setDown(true);
        run(fleet, load, 120_000);
        print("partition", fleet, load);
        assertTrue(load.wrongfulRefusals() < load.wrongfulRefusalsOfEvenSplit());
        assertEquals(List.of(), LimitAudit.breaches(load.admissions(), rates()));
    }

    @Test
    void movesShareToAnotherVmWithinASecond() {
        LimitFleet fleet = fleet(1, 2, LimitSettings.DEFAULT, LimitMutation.NONE, 9);
        Map<ClientAccountId, Rate> one = Map.of(new ClientAccountId("a0"), rates().get(new ClientAccountId("a0")));
        LimitLoad load = new LimitLoad(fleet, one, ROAMING, 9);
        run(fleet, load, 20_000);
        load.reset();
        run(fleet, load, 1_000);
        assertTrue(
                load.wrongfulRefusals() < MAX_WRONGFUL_REFUSAL_RATIO, "wrongful refusals " + load.wrongfulRefusals());
    }

    private static List<String> faultRun(long seed, LimitMutation mutation) {
        LimitFleet fleet = fleet(3, 2, SHORT_LEASES, mutation, seed);
        LimitLoad load = new LimitLoad(fleet, rates(), OVERLOAD, seed);
        FaultSchedule faults = new FaultSchedule(fleet, new SplittableRandom(seed));
        for (int i = 0; i < FAULT_MILLIS; i++) {
            faults.step();
            fleet.step();
            load.step();
            if (i % LimitFleet.TICK_MILLIS == 0) {
                List<String> excess = LimitAudit.excessHoldings(fleet, rates());
                if (!excess.isEmpty()) {
                    return excess;
                }
            }
        }
        return LimitAudit.breaches(load.admissions(), rates());
    }

    private static void run(LimitFleet fleet, LimitLoad load, long millis) {
        for (long i = 0; i < millis; i++) {
            fleet.step();
            load.step();
        }
    }

    private static void print(String name, LimitFleet fleet, LimitLoad load) {
        System.out.printf(
                "limits %s: offered=%d wrongful=%.5f evenSplit=%.5f messages=%d reads=%d updates=%d byAccount=%s%n",
                name,
                load.offered(),
                load.wrongfulRefusals(),
                load.wrongfulRefusalsOfEvenSplit(),
                fleet.messages(),
                fleet.platform().reads(),
                fleet.platform().updates(),
                load.wrongfulByAccount());
    }

    static Map<ClientAccountId, Rate> rates() {
        double[] perSecond = {400, 300, 200, 60, 40, 20, 10, 5};
        Map<ClientAccountId, Rate> rates = new LinkedHashMap<>();
        for (int i = 0; i < perSecond.length; i++) {
            rates.put(new ClientAccountId("a" + i), new Rate(perSecond[i], Math.max(5, perSecond[i] / 2)));
        }
        return rates;
    }

    static LimitFleet fleet(int dataCentres, int vms, LimitSettings settings, LimitMutation mutation, long seed) {
        LimitFleet fleet = new LimitFleet(dataCentres, vms, settings, mutation, seed);
        fleet.configure(configuration(1, dataCentres));
        return fleet;
    }

    /**
     * Returns a configuration in which the databases of all accounts have endpoints in the first {@code dataCentres}
     * data centres.
     */
    static Configuration configuration(long version, int dataCentres) {
        List<EndpointDeclaration> endpoints = new ArrayList<>();
        for (int i = 0; i < (dataCentres % 2 == 0 ? dataCentres + 1 : dataCentres); i++) {
            int d = i % dataCentres;
            endpoints.add(new EndpointDeclaration(
                    new EndpointId("e" + i),
                    new DataCentreId("dc" + d),
                    new CellId("cell" + d),
                    "127.0.0.1",
                    1,
                    false));
        }
        DatabaseId database = new DatabaseId("db");
        List<AccountDeclaration> accounts = rates().entrySet().stream()
                .map(e -> new AccountDeclaration(e.getKey(), e.getValue(), List.of(database), List.of()))
                .toList();
        TeamId team = new TeamId("team");
        return new Configuration(
                version,
                Map.of(
                        team,
                        new TeamConfiguration(
                                team,
                                version,
                                List.of(new DatabaseDeclaration(database, endpoints, 2, 16)),
                                accounts,
                                List.of())));
    }
}
