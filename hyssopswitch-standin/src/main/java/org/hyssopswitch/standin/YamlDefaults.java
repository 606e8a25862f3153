package org.hyssopswitch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.failure.HyssopException;
import picocli.CommandLine;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * Takes defaults of options from a YAML file: the key of {@code --connection-cost-millis} is
 * {@code connection-cost-millis}. Options on the command line go before it.
 */
final class YamlDefaults implements CommandLine.IDefaultValueProvider {

    static final String SETTINGS = "--settings";

    private final String file;
    private final JsonNode root;

    private YamlDefaults(String file, JsonNode root) {
        this.file = file;
        this.root = root;
    }

    /** Reads the file that the command line names, if it names one. */
    static Optional<YamlDefaults> in(String... args) {
        for (int i = 0; i < args.length; i++) {
            if (args[i].startsWith(SETTINGS + "=")) {
                return Optional.of(read(args[i].substring(SETTINGS.length() + 1)));
            }
            if (args[i].equals(SETTINGS) && i + 1 < args.length) {
                return Optional.of(read(args[i + 1]));
            }
        }
        return Optional.empty();
    }

    @Override
    public String defaultValue(ArgSpec argument) {
        if (!(argument instanceof OptionSpec option) || option.command().findOption(SETTINGS) == null) {
            return null;
        }
        requireKnownKeys(option);
        JsonNode value = root.get(key(option));
        return value == null ? null : text(value);
    }

    private void requireKnownKeys(OptionSpec option) {
        Set<String> known = new HashSet<>();
        option.command().options().forEach(o -> known.add(key(o)));
        for (Iterator<String> names = root.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                throw new CommandLine.ParameterException(
                        option.command().commandLine(), file + ": the key " + name + " is not known");
            }
        }
    }

    private static String text(JsonNode value) {
        List<String> parts = new ArrayList<>();
        if (value.isArray()) {
            value.forEach(v -> parts.add(v.asText()));
            return String.join(",", parts);
        }
        return value.asText();
    }

    private static String key(OptionSpec option) {
        return option.longestName().replaceFirst("^-+", "");
    }

    private static YamlDefaults read(String file) {
        try {
            JsonNode root = new ObjectMapper(new YAMLFactory()).readTree(new File(file));
            if (!root.isObject()) {
                throw new HyssopException(file + ": the file must hold keys and values");
            }
            return new YamlDefaults(file, root);
        } catch (IOException e) {
            throw new HyssopException(file + ": cannot be read: " + e.getMessage(), e);
        }
    }

    @Override
    public String toString() {
        return file + "=" + Map.of("keys", root.size());
    }
}
