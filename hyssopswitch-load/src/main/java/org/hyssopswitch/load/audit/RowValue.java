package org.hyssopswitch.load.audit;

import java.util.Optional;

/**
 * The value of a row: its key, so that a crossed answer shows, and the number of the write.
 *
 * @param key key of the row
 * @param sequence number of the write, counted from 1
 */
public record RowValue(String key, long sequence) {

    private static final char SEPARATOR = '#';

    /** The value as text. */
    public String encode() {
        return key + SEPARATOR + sequence;
    }

    /**
     * Reads a value.
     *
     * @param text the value as text; anything else gives an empty result
     */
    public static Optional<RowValue> decode(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        try {
            return separator < 0
                    ? Optional.empty()
                    : Optional.of(
                            new RowValue(text.substring(0, separator), Long.parseLong(text.substring(separator + 1))));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
