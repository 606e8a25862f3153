package org.hyssopswitch.pool.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.hyssopswitch.core.admission.AdmissionListener;
import org.hyssopswitch.core.admission.AdmissionPermit;
import org.hyssopswitch.core.admission.TokenHolderUtils;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.api.Test;

class AccountLimiterTests {

    private static final double RATE = 60;
    private static final double BURST = 60;
    private static final long DELIVERY_MILLIS = 2;
    private static final int RUN_MILLIS = 20_000;
    private static final int DATA_CENTRES = 3;

    /** Longer than any wait for a token: the operation waited for an answer. */
    private static final long LATE_DECISION_MILLIS = 60;

    private final ManualLoop loop = new ManualLoop();
    private final List<AccountLimiter> fleet = new ArrayList<>();
    private final Random random = new Random(3);
    private double messageLossRate;
    private Account account = new Account("school", Option.some(new Rate(RATE, BURST)));
    private final Set<Integer> lost = new HashSet<>();
    private final List<AdmissionPermit> permits = new ArrayList<>();
    private int vms = 6;
    private int admitted;
    private long lastAdmittedMillis;
    private int lateDecisions;
    private int refused;
    private int sentMessages;

    @Test
    void admitsAnAccountWithinItsRateWhoseCallersAreAllAtOneVm() {
        start();
        run(vm -> vm == 0 ? 40.0 : 0.0, RUN_MILLIS);
        assertTrue(refused <= 0.01 * (admitted + refused), refused + " of " + (admitted + refused) + " refused");
    }

    @Test
    void enforcesTheRateOfAnAccountThatSendsEightTimesAsMuch() {
        start();
        run(vm -> 8 * RATE / vms, RUN_MILLIS);
        double seconds = RUN_MILLIS / 1_000.0;
        assertTrue(admitted <= RATE * seconds + BURST, admitted + " admitted");
        assertTrue(admitted >= 0.9 * RATE * seconds, admitted + " admitted");
    }

    @Test
    void admitsASmallAccountWithinItsRateWhoseCallersAreUnevenlySpread() {
        account = new Account("small", Option.some(new Rate(12, 12)));
        start();
        run(vm -> 0.0, 2_000);
        // The deployments' limits are 1.6 times what an account usually sends.
        run(vm -> vm < 2 ? 3.2 : 0.275, RUN_MILLIS);
        assertTrue(refused <= 0.01 * (admitted + refused), refused + " of " + (admitted + refused) + " refused");
    }

    @Test
    void enforcesTheRateOfASmallAccountThatSendsFiveTimesAsMuchFromUnevenlySpreadCallers() {
        account = new Account("small", Option.some(new Rate(12, 12)));
        start();
        run(vm -> vm < 2 ? 24.0 : 3.0, RUN_MILLIS);
        assertTrue(admitted <= 12 * RUN_MILLIS / 1_000 + 12, admitted + " admitted");
        assertTrue(admitted >= 0.93 * 12 * RUN_MILLIS / 1_000, admitted + " admitted");
    }

    @Test
    void enforcesTheRateWhenMessagesAreLost() {
        messageLossRate = 0.5;
        start();
        run(vm -> vm < 2 ? 4 * RATE : 1.0, RUN_MILLIS);
        assertTrue(admitted <= RATE * RUN_MILLIS / 1_000 + BURST, admitted + " admitted");
    }

    @Test
    void enforcesTheRateInALargeFleetWhereEachVmsShareIsLessThanOneOperation() {
        vms = 69;
        start();
        run(vm -> 0.0, 5_000);
        run(vm -> 8 * RATE / vms, RUN_MILLIS);
        assertTrue(admitted <= RATE * RUN_MILLIS / 1_000 + BURST, admitted + " admitted");
        assertTrue(admitted >= 0.8 * RATE * RUN_MILLIS / 1_000, admitted + " admitted");
    }

    @Test
    void admitsAnAccountWithinItsRateAtAnyVmOfALargeFleet() {
        vms = 69;
        start();
        run(vm -> vm < 3 ? 12.0 : 0.0, RUN_MILLIS);
        assertTrue(refused <= 0.02 * (admitted + refused), refused + " of " + (admitted + refused) + " refused");
    }

    @Test
    void sendsFewMessagesForEachOperationInALargeFleet() {
        vms = 69;
        start();
        run(vm -> 0.0, 3_000);
        sentMessages = 0;
        run(vm -> 0.6 * RATE / vms, RUN_MILLIS);
        int asked = admitted + refused;
        assertTrue(refused <= 0.02 * asked, refused + " of " + asked + " refused");
        assertTrue(sentMessages <= 6 * asked, sentMessages + " messages for " + asked + " operations");
    }

    @Test
    void admitsAnAccountWithinItsRateWhileOneOfItsHoldersIsLost() {
        vms = 21;
        start();
        run(vm -> 0.0, 3_000);
        lost.add(Integer.parseInt(TokenHolderUtils.choose("school", new Rate(RATE, BURST), dataCentres())
                .get(0)));
        run(vm -> lost.contains(vm) ? 0.0 : 0.4 * RATE / vms, RUN_MILLIS);
        assertTrue(refused <= 0.02 * (admitted + refused), refused + " of " + (admitted + refused) + " refused");
    }

    @Test
    void admitsAnAccountWithinItsRateWhileItsHoldersStopInTurn() {
        vms = 21;
        start();
        run(vm -> 0.0, 5_000);
        for (String holder : TokenHolderUtils.choose("school", new Rate(RATE, BURST), dataCentres())) {
            int stopped = Integer.parseInt(holder);
            fleet.get(stopped).stop(holder);
            IntStream.range(0, vms).filter(vm -> vm != stopped).forEach(vm -> fleet.get(vm)
                    .vmStopping(holder, 8_000));
            run(vm -> 0.4 * RATE / vms, 1_000);
            lost.add(stopped);
            run(vm -> lost.contains(vm) ? 0.0 : 0.4 * RATE / vms, 2_000);
            lost.remove(stopped);
            fleet.set(stopped, new AccountLimiter(new Links(stopped), loop::nowMillis));
            fleet.get(stopped).update(catalog(), holder, dataCentres());
            run(vm -> 0.4 * RATE / vms, 7_000);
        }
        assertTrue(refused <= 0.01 * (admitted + refused), refused + " of " + (admitted + refused) + " refused");
        assertEquals(0, lateDecisions, "no operation may wait for a VM that announced its stop");
    }

    @Test
    void enforcesTheRateWhileHoldersAreCutOffFromEachOther() {
        vms = 21;
        start();
        run(vm -> 0.0, 5_000);
        lost.addAll(List.of(0, 1, 2, 3, 4, 5));
        long startMillis = loop.nowMillis();
        run(vm -> 8 * RATE / vms, RUN_MILLIS);
        // Holders that are cut off leave operations undecided for a while, so the last decisions come after the run.
        double seconds = (lastAdmittedMillis - startMillis) / 1_000.0;
        assertTrue(admitted <= RATE * seconds + BURST, admitted + " admitted in " + seconds + " s");
        assertTrue(admitted >= 0.3 * RATE * seconds, admitted + " admitted in " + seconds + " s");
    }

    @Test
    void refusesAtOnceOperationsThatTheFleetRateCannotAdmitWithinTheWait() {
        start();
        loop.advance(200);
        int holder = Integer.parseInt(TokenHolderUtils.choose("school", new Rate(RATE, BURST), dataCentres())
                .get(0));
        for (int i = 0; i < 500; i++) {
            admit(holder);
        }
        int atOnce = refused;
        assertTrue(atOnce >= 450, atOnce + " refused at once");
        loop.advance(200);
        assertEquals(500, admitted + refused);
    }

    @Test
    void refusesWithinARoundTripWhatAnotherVmDecidesOn() {
        start();
        loop.advance(200);
        List<String> holders = TokenHolderUtils.choose("school", new Rate(RATE, BURST), dataCentres());
        int other = IntStream.range(0, vms)
                .filter(vm -> !holders.contains(String.valueOf(vm)))
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 500; i++) {
            admit(other);
        }
        loop.advance(2 * DELIVERY_MILLIS);
        assertTrue(refused >= 450, refused + " refused within a round trip");
        loop.advance(200);
        assertEquals(500, admitted + refused);
    }

    @Test
    void admitsAgainAtOnceWhatWasRefusedBeforeAnythingWasSent() {
        start();
        run(vm -> 0.0, 3_000);
        for (int round = 0; round < 3; round++) {
            admitBurst(vms);
            permits.forEach(permit -> permit.giveBack(loop.nowMillis()));
            permits.clear();
            loop.advance(500);
        }
        assertEquals(3 * (int) BURST, admitted);
    }

    @Test
    void enforcesTheRateWhenTokensAreGivenBackTwiceAndTheirHoldersStop() {
        start();
        run(vm -> 0.0, 3_000);
        admitBurst(vms);
        List<AdmissionPermit> unused = List.copyOf(permits);
        for (int vm = 0; vm < vms; vm += 2) {
            fleet.get(vm).stop(String.valueOf(vm));
        }
        unused.forEach(permit -> permit.giveBack(loop.nowMillis()));
        unused.forEach(permit -> permit.giveBack(loop.nowMillis()));
        loop.advance(100);
        permits.clear();
        long startMillis = loop.nowMillis();
        run(vm -> 8 * RATE / vms, RUN_MILLIS);
        double seconds = (lastAdmittedMillis - startMillis) / 1_000.0;
        assertTrue(permits.size() <= RATE * seconds + BURST, permits.size() + " admitted in " + seconds + " s");
    }

    /** Asks for one burst, spread over all VMs, within a few milliseconds. */
    private void admitBurst(int askingVms) {
        for (int i = 0; i < BURST; i++) {
            admit(i % askingVms);
        }
        loop.advance(100);
    }

    private void start() {
        Map<String, String> dataCentres = dataCentres();
        Catalog catalog = catalog();
        for (int i = 0; i < vms; i++) {
            fleet.add(new AccountLimiter(new Links(i), loop::nowMillis));
            fleet.get(i).update(catalog, String.valueOf(i), dataCentres);
        }
        tick();
    }

    private Catalog catalog() {
        return Catalog.of(1, List.of(), List.of(), Map.of("key", account), 3_000);
    }

    private Map<String, String> dataCentres() {
        return IntStream.range(0, vms)
                .boxed()
                .collect(Collectors.toMap(String::valueOf, vm -> "dc-" + vm % DATA_CENTRES));
    }

    private void tick() {
        fleet.forEach(AccountLimiter::tick);
        loop.schedule(20, this::tick);
    }

    private void run(IntToDoubleFunction ratePerSecond, int millis) {
        for (int i = 0; i < millis; i++) {
            for (int vm = 0; vm < vms; vm++) {
                if (random.nextDouble() < ratePerSecond.applyAsDouble(vm) / 1_000) {
                    admit(vm);
                }
            }
            loop.advance(1);
        }
        loop.advance(1_000);
    }

    private void admit(int vm) {
        long askedMillis = loop.nowMillis();
        fleet.get(vm).admit(account, 40, new AdmissionListener() {
            @Override
            public void admitted(AdmissionPermit permit) {
                admitted++;
                permits.add(permit);
                lastAdmittedMillis = loop.nowMillis();
                lateDecisions += lastAdmittedMillis - askedMillis > LATE_DECISION_MILLIS ? 1 : 0;
            }

            @Override
            public void refused(long retryAfterMillis) {
                refused++;
            }

            @Override
            public boolean isPending() {
                return true;
            }
        });
    }

    private final class Links implements PeerLinks {

        private final int self;

        Links(int self) {
            this.self = self;
        }

        @Override
        public void send(String vm, PeerMessage message) {
            sentMessages++;
            if (random.nextDouble() < messageLossRate) {
                return;
            }
            loop.schedule(DELIVERY_MILLIS, () -> {
                if (!lost.contains(Integer.parseInt(vm)) && !lost.contains(self)) {
                    fleet.get(Integer.parseInt(vm)).received(String.valueOf(self), message);
                }
            });
        }

        @Override
        public void sendToSubset(PeerMessage message) {
            names().forEach(name -> send(name, message));
        }

        @Override
        public Collection<String> names() {
            Map<String, Integer> others = new HashMap<>();
            for (int i = 0; i < vms; i++) {
                others.put(String.valueOf(i), i);
            }
            others.remove(String.valueOf(self));
            return others.keySet();
        }
    }
}
