package org.hyssopswitch.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.configuration.Rate;
import org.junit.jupiter.api.Test;

class TokenHolderUtilsTests {

    private final Map<String, String> dataCentres = new HashMap<>();

    TokenHolderUtilsTests() {
        for (int i = 0; i < 95; i++) {
            dataCentres.put("vm-" + i, "dc-" + i % 5);
        }
    }

    @Test
    void choosesOneVmPerDataCentreForALargeAccount() {
        List<String> holders = TokenHolderUtils.choose("large", new Rate(200, 400), dataCentres);
        assertEquals(5, holders.stream().map(dataCentres::get).distinct().count());
        assertEquals(5, holders.size());
    }

    @Test
    void choosesFewerVmsWherePartsWouldBeTooSmall() {
        assertEquals(
                1,
                TokenHolderUtils.choose("small", new Rate(0.3, 1), dataCentres).size());
        assertEquals(
                1,
                TokenHolderUtils.choose("small", new Rate(0.3, 3.9), dataCentres)
                        .size());
        assertEquals(
                2,
                TokenHolderUtils.choose("small", new Rate(0.3, 5), dataCentres).size());
    }

    @Test
    void asksTheHolderOfTheOwnDataCentreFirst() {
        List<String> holders = TokenHolderUtils.choose("large", new Rate(200, 400), dataCentres);
        for (int i = 0; i < 5; i++) {
            List<String> ordered = TokenHolderUtils.inOrderOf("large", holders, "dc-" + i, dataCentres);
            assertEquals("dc-" + i, dataCentres.get(ordered.get(0)));
            assertEquals(5, ordered.stream().distinct().count());
        }
    }

    @Test
    void spreadsTheAccountsOverTheVms() {
        Map<String, Integer> parts = new HashMap<>();
        for (int i = 0; i < 900; i++) {
            TokenHolderUtils.choose("account-" + i, new Rate(10, 20), dataCentres)
                    .forEach(vm -> parts.merge(vm, 1, Integer::sum));
        }
        int most = parts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertTrue(most < 2 * 900 * 5 / 95, most + " parts at one VM");
    }
}
