package org.hyssopswitch.pool.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTests {

    private final ManualLoop loop = new ManualLoop();
    private final EndpointDirectory directory = new EndpointDirectory(loop::nowMillis);
    private final Endpoint entry =
            new Endpoint("e1", "group", "10.0.0.1", 1, "dc", false, true, 1, 0, new StorePosition(0, 1));

    @Test
    void removesAnEntryAtOnceWhileTheStoreIsAvailable() {
        directory.put(entry);
        directory.remove("e1");
        assertTrue(directory.endpoints().isEmpty());
    }

    @Test
    void keepsAnEntryThatReappearsShortlyAfterTheStoreRecovers() {
        directory.put(entry);
        directory.storeRecovered();
        directory.replaceAll(Map.of());
        assertEquals(1, directory.endpoints().size());
        loop.advance(1_800);
        directory.put(entry);
        loop.advance(2_000);
        assertFalse(directory.removeExpired());
        assertEquals(1, directory.endpoints().size());
    }

    @Test
    void removesAnEntryThatIsStillMissingAfterTheGracePeriod() {
        directory.put(entry);
        directory.storeRecovered();
        directory.replaceAll(Map.of());
        loop.advance(3_000);
        assertTrue(directory.removeExpired());
        assertTrue(directory.endpoints().isEmpty());
    }
}
