package org.hyssopswitch.load.profile;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The mix of operations and how sessions roam.
 *
 * @param agedRoute route of reads that accept aged data
 * @param maxAgeMillis age that it accepts
 * @param latestRoute route of reads of the latest data
 * @param mix weights of the operations
 * @param roamShare share of operations after which the session moves to another VM
 * @param tokenlessShare share of moves in which the session does not present its token
 */
public record Traffic(
        String agedRoute,
        long maxAgeMillis,
        String latestRoute,
        Map<Operation, Double> mix,
        double roamShare,
        double tokenlessShare) {

    /** Checks the weights and copies the map. */
    public Traffic {
        mix = Map.copyOf(mix);
        boolean negative = mix.values().stream().anyMatch(w -> !(w >= 0));
        if (negative || !(mix.values().stream().mapToDouble(w -> w).sum() > 0)) {
            throw new IllegalArgumentException("the weights must not be negative and not all 0, but are " + mix);
        }
        if (!(roamShare >= 0 && roamShare <= 1) || !(tokenlessShare >= 0 && tokenlessShare <= 1)) {
            throw new IllegalArgumentException("roamShare and tokenlessShare must be between 0 and 1, but are "
                    + roamShare + " and " + tokenlessShare);
        }
    }

    /**
     * Draws an operation.
     *
     * @param random the generator
     */
    public Operation draw(SplittableRandom random) {
        Map<Operation, Double> ordered = new EnumMap<>(mix);
        double left = random.nextDouble()
                * ordered.values().stream().mapToDouble(w -> w).sum();
        Operation drawn = Operation.LATEST_READ;
        for (Map.Entry<Operation, Double> entry : ordered.entrySet()) {
            if (entry.getValue() > 0 && left >= 0) {
                drawn = entry.getKey();
            }
            left -= entry.getValue();
        }
        return drawn;
    }
}
