package org.hyssopswitch.pool.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssopswitch.core.admission.AdmissionListener;
import org.hyssopswitch.core.admission.AdmissionPermit;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.limit.TokenBucket;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.testing.FakePeerNetwork;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays the load of many client accounts of very different sizes, whose callers are spread over all VMs, and counts the
 * refusals of operations that a single limiter would have admitted.
 */
class FleetRateReplayTests {

    private static final int ACCOUNTS = 90;
    private static final double OPERATIONS_PER_SECOND = 400;
    private static final double LIMIT_FACTOR = 1.6;
    private static final int RUN_MILLIS = 20_000;
    private static final long WAIT_MILLIS = 24;
    private static final double MAX_WRONGFUL_FRACTION = 0.001;

    private final ManualLoop loop = new ManualLoop();
    private final FakePeerNetwork network = new FakePeerNetwork(loop);
    private final Random random = new Random(11);
    private final List<Account> accounts = new ArrayList<>();
    private final List<Double> rates = new ArrayList<>();
    private final Map<String, TokenBucket> references = new HashMap<>();
    private final List<AccountLimiter> fleet = new ArrayList<>();
    private int withinRate;
    private int wrongfullyRefused;
    private int refusedByEvenSplit;

    @ParameterizedTest
    @CsvSource({"6, 3", "22, 5", "95, 5", "300, 24"})
    void refusesAlmostNothingWithinTheRates(int vms, int dataCentres) {
        start(vms, dataCentres);
        Map<String, List<TokenBucket>> evenSplit = evenSplit(vms);
        for (int i = 0; i < RUN_MILLIS; i++) {
            for (int account = 0; account < ACCOUNTS; account++) {
                if (random.nextDouble() < rates.get(account) / 1_000) {
                    int vm = random.nextInt(vms);
                    boolean within =
                            references.get(accounts.get(account).name()).tryTake(loop.nowMillis());
                    boolean evenSplitAdmits =
                            evenSplit.get(accounts.get(account).name()).get(vm).tryTake(loop.nowMillis());
                    refusedByEvenSplit += within && !evenSplitAdmits ? 1 : 0;
                    admit(vm, accounts.get(account), within);
                }
            }
            loop.advance(1);
        }
        loop.advance(1_000);
        String figures = wrongfullyRefused + " of " + withinRate + " refused (" + refusedByEvenSplit
                + " by an even split), " + network.sentCount() + " messages";
        assertTrue(wrongfullyRefused <= MAX_WRONGFUL_FRACTION * withinRate, figures);
        assertTrue(refusedByEvenSplit > 100 * Math.max(1, wrongfullyRefused) || vms == 6, figures);
        assertEquals(0, fleet.size() - vms);
    }

    private void start(int vms, int dataCentres) {
        double weights = 0;
        for (int i = 0; i < ACCOUNTS; i++) {
            weights += 1.0 / (i + 1);
        }
        Map<String, Account> byKey = new HashMap<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            double perSecond = OPERATIONS_PER_SECOND / (i + 1) / weights;
            Rate limit = new Rate(LIMIT_FACTOR * perSecond, Math.max(4, 2 * LIMIT_FACTOR * perSecond));
            Account account = new Account("account-" + i, Option.some(limit));
            accounts.add(account);
            rates.add(perSecond);
            byKey.put("key-" + i, account);
            references.put(account.name(), new TokenBucket(limit.perSecond(), limit.burst(), loop.nowMillis()));
        }
        Map<String, String> dataCentreOf = new HashMap<>();
        for (int i = 0; i < vms; i++) {
            dataCentreOf.put("vm-" + i, "dc-" + i % dataCentres);
        }
        Catalog catalog = Catalog.of(1, List.of(), List.of(), byKey, 3_000);
        for (int i = 0; i < vms; i++) {
            int vm = i;
            PeerLinks links =
                    network.join("vm-" + i, (from, message) -> fleet.get(vm).received(from, message));
            AccountLimiter limiter = new AccountLimiter(links, loop::nowMillis);
            limiter.update(catalog, "vm-" + i, dataCentreOf);
            fleet.add(limiter);
        }
        tick();
        // The buckets of the limiters and of the reference start empty; both are full by then.
        loop.advance(60_000);
    }

    private Map<String, List<TokenBucket>> evenSplit(int vms) {
        Map<String, List<TokenBucket>> split = new HashMap<>();
        for (Account account : accounts) {
            Rate limit = account.limit().get();
            List<TokenBucket> buckets = new ArrayList<>();
            for (int i = 0; i < vms; i++) {
                TokenBucket bucket = new TokenBucket(
                        limit.perSecond() / vms, Math.max(1, limit.burst() / vms), loop.nowMillis() - 60_000);
                buckets.add(bucket);
            }
            split.put(account.name(), buckets);
        }
        return split;
    }

    private void tick() {
        fleet.forEach(AccountLimiter::tick);
        loop.schedule(20, this::tick);
    }

    private void admit(int vm, Account account, boolean within) {
        withinRate += within ? 1 : 0;
        fleet.get(vm).admit(account, WAIT_MILLIS, new AdmissionListener() {
            @Override
            public void admitted(AdmissionPermit permit) {
                // Only refusals are counted.
            }

            @Override
            public void refused(long retryAfterMillis) {
                wrongfullyRefused += within ? 1 : 0;
            }

            @Override
            public boolean isPending() {
                return true;
            }
        });
    }
}
