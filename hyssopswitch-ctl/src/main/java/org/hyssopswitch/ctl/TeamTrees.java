package org.hyssopswitch.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.vavr.control.Try;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;

/**
 * Subtrees as trees, as YAML and as the record of the version from which declarations were made
 * ({@code teams/<team>/.base.json}).
 */
final class TeamTrees {

    private static final String BASE_FILE = ".base.json";

    private final TeamConfigurationCodec codec = new TeamConfigurationCodec();
    private final ObjectMapper json = new ObjectMapper();
    private final YAMLMapper yaml = YAMLMapper.builder()
            .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
            .build();

    JsonNode tree(Optional<TeamConfiguration> team) {
        try {
            return team.isPresent() ? json.readTree(codec.encode(team.get())) : json.createObjectNode();
        } catch (IOException e) {
            throw new HyssopException("a subtree cannot be read back", e);
        }
    }

    String yaml(TeamConfiguration team) {
        try {
            return yaml.writeValueAsString(tree(Optional.of(team)));
        } catch (IOException e) {
            throw new HyssopException("a subtree cannot be written as YAML", e);
        }
    }

    List<Difference> compare(Optional<TeamConfiguration> before, Optional<TeamConfiguration> after) {
        return TreeDiff.compare(tree(before), tree(after));
    }

    /** The version from which the declarations of a directory were made; nothing when it is not recorded. */
    Optional<Base> readBase(Path teamDirectory) {
        return Try.of(() -> json.readTree(Files.readAllBytes(teamDirectory.resolve(BASE_FILE))))
                .filter(n -> n.path("version").isIntegralNumber())
                .map(n -> new Base(n.get("version").longValue(), n.path("value")))
                .toJavaOptional();
    }

    Try<Path> writeBase(Path teamDirectory, long version, TeamConfiguration team) {
        ObjectNode node = json.createObjectNode();
        node.put("version", version);
        node.set("value", tree(Optional.of(team)));
        return Try.of(() -> {
            Files.createDirectories(teamDirectory);
            return Files.write(teamDirectory.resolve(BASE_FILE), json.writeValueAsBytes(node));
        });
    }

    /** A recorded version and its value. */
    record Base(long version, JsonNode value) {}
}
