package org.hyssopswitch.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SlotRecordTests {

    private static final DataCentreId DATA_CENTRE = new DataCentreId("dc1");
    private static final VmAddress VM =
            new VmAddress(new VmId("vm1"), 7, DATA_CENTRE, new CellId("c1"), "127.0.0.1", 4_000);

    @Test
    void decodesEncodedRecord() {
        SlotRecord owned = new SlotRecord(Optional.of(VM), 3, 11, 10, Set.of(DATA_CENTRE, new DataCentreId("dc2")));
        assertEquals(owned, SlotRecord.decode("p", owned.encode()).get());
        SlotRecord released = owned.withOwner(Optional.empty());
        assertEquals(released, SlotRecord.decode("p", released.encode()).get());
    }

    @Test
    void decodesEmptyValueAsNeverOwned() {
        assertEquals(SlotRecord.NEVER_OWNED, SlotRecord.decode("p", new byte[0]).get());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"x", "epoch=1", "epoch=a\nsettled=1\ngrown=1\ndatacentres=", "epoch=-1\nsettled=0\ngrown=0\n"})
    void reportsAMalformedValue(String value) {
        assertTrue(
                SlotRecord.decode("p", value.getBytes(StandardCharsets.UTF_8)).isLeft());
    }

    @Test
    void rejectsReportsAndLeasesWithNegativeNumbers() {
        ClientAccountId account = new ClientAccountId("a");
        assertThrows(IllegalArgumentException.class, () -> new ShareReport(account, 1, 1, Double.NaN, 0, 0, 0, 0, 0));
        assertThrows(IllegalArgumentException.class, () -> new ShareReport(account, 1, 1, 1, 1, 0, -1, 0, 0));
        assertThrows(IllegalArgumentException.class, () -> new ShareLease(account, 1, 1, -1, 0, 0, 1));
    }
}
