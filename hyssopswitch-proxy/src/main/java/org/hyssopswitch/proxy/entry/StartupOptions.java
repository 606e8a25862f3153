package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;

/** Settings that a caller gives at startup, directly or in the {@code options} parameter. */
final class StartupOptions {

    private static final String ROUTE = "hyssop.route";
    private static final String SESSION = "hyssop.session";

    private final Map<String, String> values = new HashMap<>();

    /**
     * Reads the startup parameters.
     *
     * @param parameters the parameters
     */
    StartupOptions(Map<String, String> parameters) {
        String[] words = parameters.getOrDefault("options", "").strip().split("\\s+");
        for (int i = 0; i < words.length; i++) {
            boolean separate = words[i].equals("-c") && i + 1 < words.length;
            add(separate ? words[++i] : words[i].replaceFirst("^(-c|--)", ""));
        }
        values.putAll(parameters);
    }

    /** The route of statements that name none. */
    Option<String> route() {
        return Option.of(values.get(ROUTE));
    }

    /** The session token. */
    Option<String> sessionToken() {
        return Option.of(values.get(SESSION));
    }

    private void add(String assignment) {
        int equals = assignment.indexOf('=');
        if (equals > 0) {
            values.put(assignment.substring(0, equals), assignment.substring(equals + 1));
        }
    }
}
