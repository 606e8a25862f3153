package org.hyssopswitch.pool.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.testing.FakePeerNetwork;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Guards against lenders that count as lost in a fleet that starts, before a link to them is open. */
class LinkOpeningTests {

    private static final String SELF = "vm-0";
    private static final Endpoint ENDPOINT =
            new Endpoint("e1", "group", "127.0.0.1", 1, "dc-0", false, true, 1, 0, new StorePosition(0, 1));

    private final ManualLoop loop = new ManualLoop();
    private final ConnectionBorrower borrower = new ConnectionBorrower(
            SELF, new FakePeerNetwork(loop).join(SELF, (vm, message) -> {}), new Random(1), loop::nowMillis);

    @Test
    void countsTheTimeToAnswerFromTheOpeningOfTheLink() {
        // The other VMs have not joined the network, so that nothing is answered.
        borrower.update(Map.of("vm-1", "dc-0", "vm-2", "dc-0", "vm-3", "dc-0"));
        Set<String> asked = borrower.lenders(List.of(ENDPOINT));
        borrower.borrow(ENDPOINT, TestPool.account("account"), 0, 5_000, new IgnoringLinkListener());
        tick(300);
        asked.forEach(borrower::linkOpened);
        tick(300);
        assertEquals(asked, borrower.lenders(List.of(ENDPOINT)));
        tick(200);
        assertNotEquals(asked, borrower.lenders(List.of(ENDPOINT)));
    }

    private void tick(long millis) {
        for (long passed = 0; passed < millis; passed += 20) {
            loop.advance(20);
            borrower.tick();
        }
    }
}
