package org.hyssopswitch.settings.binding;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Parses YAML and JSON; a repeated key and anything after the document are mistakes. */
public final class TreeParser {

    private static final long MAX_FILE_BYTES = 8L << 20;

    private final ObjectMapper yaml = YAMLMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private final ObjectMapper json = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /**
     * Parses a YAML file.
     *
     * @param file the file, at most 8 MB
     * @param mistakes takes the mistake when it cannot be parsed
     * @return the tree, or nothing when it cannot be parsed
     */
    public Optional<JsonNode> yamlFile(Path file, MistakeCollector mistakes) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                mistakes.add("", Files.size(file), "must have at most " + MAX_FILE_BYTES + " bytes");
                return Optional.empty();
            }
            return parse(yaml, Files.readAllBytes(file), mistakes);
        } catch (IOException e) {
            mistakes.add("", "", "cannot be read: " + e);
            return Optional.empty();
        }
    }

    /**
     * Parses JSON.
     *
     * @param bytes the JSON, in UTF-8
     * @param mistakes takes the mistake when it cannot be parsed
     * @return the tree, or nothing when it cannot be parsed
     */
    public Optional<JsonNode> json(byte[] bytes, MistakeCollector mistakes) {
        if (bytes.length == 0) {
            mistakes.add("", "", "is empty");
            return Optional.empty();
        }
        return parse(json, bytes, mistakes);
    }

    private static Optional<JsonNode> parse(ObjectMapper mapper, byte[] bytes, MistakeCollector mistakes) {
        try {
            return Optional.of(mapper.readTree(bytes));
        } catch (JsonProcessingException e) {
            String where = e.getLocation() == null
                    ? ""
                    : " at line " + e.getLocation().getLineNr() + " column "
                            + e.getLocation().getColumnNr();
            String reason =
                    String.valueOf(e.getOriginalMessage()).lines().findFirst().orElse("");
            mistakes.add("", "", "cannot be parsed" + where + ": " + reason);
        } catch (IOException e) {
            mistakes.add("", "", "cannot be parsed: " + e);
        }
        return Optional.empty();
    }
}
