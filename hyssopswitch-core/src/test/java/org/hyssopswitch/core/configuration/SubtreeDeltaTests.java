package org.hyssopswitch.core.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class SubtreeDeltaTests {

    @Property(seed = "713871")
    void anyValueIsDecodedAgainstItsBase(@ForAll @Size(max = 500) byte[] base, @ForAll @Size(max = 500) byte[] value) {
        assertArrayEquals(
                value,
                SubtreeDelta.decode(base, SubtreeDelta.encode(base, value)).get());
    }

    @Property(seed = "237813")
    void editsOfARealisticValueAreDecoded(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] base = randomText(random, 200).getBytes(StandardCharsets.UTF_8);
        byte[] value = base.clone();
        for (int i = random.nextInt(4); i >= 0; i--) {
            value[random.nextInt(value.length)] = (byte) random.nextInt();
        }
        assertArrayEquals(
                value,
                SubtreeDelta.decode(base, SubtreeDelta.encode(base, value)).get());
    }

    @Property(seed = "935624")
    void anotherBaseIsDetected(@ForAll long seed, @ForAll int position) {
        byte[] base = randomText(new SplittableRandom(seed), 20).getBytes(StandardCharsets.UTF_8);
        byte[] value = (new String(base, StandardCharsets.UTF_8) + " and more").getBytes(StandardCharsets.UTF_8);
        byte[] other = base.clone();
        other[Math.floorMod(position, base.length)] ^= 1;
        assertTrue(SubtreeDelta.decode(other, SubtreeDelta.encode(base, value)).isEmpty());
        assertTrue(SubtreeDelta.decode(new byte[0], SubtreeDelta.encode(base, value))
                .isEmpty());
    }

    @Property(seed = "935725")
    void movedAndRepeatedPartsAreDecoded(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String base = randomText(random, 50);
        int cut = random.nextInt(base.length());
        String value = base.substring(cut) + randomText(random, 3) + base.substring(0, cut) + base.substring(cut / 2);
        byte[] before = base.getBytes(StandardCharsets.UTF_8);
        byte[] after = value.getBytes(StandardCharsets.UTF_8);
        assertArrayEquals(
                after,
                SubtreeDelta.decode(before, SubtreeDelta.encode(before, after)).get());
    }

    @Property(seed = "935826")
    void damagedBytesNeverThrow(@ForAll @Size(max = 200) byte[] bytes, @ForAll @Size(max = 50) byte[] base) {
        Optional<byte[]> decoded = SubtreeDelta.decode(base, bytes);
        assertTrue(decoded.isEmpty() || decoded.get().length <= SubtreeDelta.MAX_VALUE_BYTES);
    }

    @Property(seed = "594902")
    void truncatedBytesAreDetected(@ForAll @Size(min = 1, max = 200) byte[] value, @ForAll int cut) {
        byte[] encoded = SubtreeDelta.encode(new byte[0], value);
        byte[] truncated = java.util.Arrays.copyOf(encoded, Math.floorMod(cut, encoded.length));
        assertTrue(SubtreeDelta.decode(new byte[0], truncated).isEmpty());
    }

    @Test
    void aValueThatInflatesBeyondTheBoundIsRefused() {
        byte[] encoded = SubtreeDelta.encode(new byte[0], new byte[SubtreeDelta.MAX_VALUE_BYTES + 10_000]);
        assertTrue(SubtreeDelta.decode(new byte[0], encoded).isEmpty());
    }

    @Test
    void oneChangeInALongValueIsShort() {
        byte[] base = randomText(new SplittableRandom(1), 5_000).getBytes(StandardCharsets.UTF_8);
        byte[] value = base.clone();
        value[base.length / 2] ^= 1;
        assertFalse(SubtreeDelta.encode(base, value).length > 100);
    }

    @Test
    void scatteredChangesInALongValueAreShort() {
        byte[] base = randomText(new SplittableRandom(1), 20_000).getBytes(StandardCharsets.UTF_8);
        byte[] value = base.clone();
        for (int i = 1; i <= 5; i++) {
            value[base.length / 6 * i] ^= 1;
        }
        assertFalse(SubtreeDelta.encode(base, value).length > 200);
    }

    private static String randomText(SplittableRandom random, int words) {
        StringBuilder builder = new StringBuilder();
        for (int i = 0; i < words; i++) {
            builder.append("{\"id\":\"").append(random.nextInt(10_000)).append("\"},");
        }
        return builder.toString();
    }
}
