package org.hyssopswitch.bench.capacity;

import java.util.List;
import java.util.OptionalDouble;

/**
 * One figure of the capacity page.
 *
 * @param role the role that bears it
 * @param subject what it is, with its formula in words
 * @param mechanism the mechanism that carries it
 * @param unit unit of value and limit
 * @param value the figure at the target; empty when it has not been measured
 * @param limit the users' limit; empty when there is none for this line alone
 * @param slopes names of the slopes it is computed from
 * @param remedy what would change if it does not fit
 */
public record CapacityLine(
        String role,
        String subject,
        String mechanism,
        String unit,
        OptionalDouble value,
        OptionalDouble limit,
        List<String> slopes,
        String remedy) {

    /** Copies the list. */
    public CapacityLine {
        slopes = List.copyOf(slopes);
    }

    /** Whether the figure is known and above its limit. */
    public boolean exceeds() {
        return value.isPresent() && limit.isPresent() && value.getAsDouble() > limit.getAsDouble();
    }

    /** Limit in relation to the value; above 1 it fits. */
    public OptionalDouble factor() {
        if (value.isEmpty() || limit.isEmpty() || value.getAsDouble() <= 0) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(limit.getAsDouble() / value.getAsDouble());
    }
}
