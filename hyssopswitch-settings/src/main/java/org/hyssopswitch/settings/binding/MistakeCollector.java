package org.hyssopswitch.settings.binding;

import java.util.ArrayList;
import java.util.List;

/** Collects the mistakes of one file. */
public final class MistakeCollector {

    private static final int MAX_VALUE_CHARS = 60;

    private final String file;
    private final List<SettingsMistake> mistakes = new ArrayList<>();

    /**
     * Creates an empty collector.
     *
     * @param file name of the file
     */
    public MistakeCollector(String file) {
        this.file = file;
    }

    /**
     * Adds a mistake.
     *
     * @param path path of the field; empty for the whole file
     * @param value the value found; shortened when long
     * @param reason what must hold
     */
    public void add(String path, Object value, String reason) {
        String text = String.valueOf(value);
        String shown = text.length() > MAX_VALUE_CHARS ? text.substring(0, MAX_VALUE_CHARS) + "…" : text;
        mistakes.add(new SettingsMistake(file, path, shown, reason));
    }

    /** The name of the file. */
    public String file() {
        return file;
    }

    /** The mistakes so far. */
    public List<SettingsMistake> mistakes() {
        return List.copyOf(mistakes);
    }

    /** Whether there is none so far. */
    public boolean isEmpty() {
        return mistakes.isEmpty();
    }
}
