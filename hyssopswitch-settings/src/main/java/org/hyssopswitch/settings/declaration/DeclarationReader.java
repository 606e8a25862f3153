package org.hyssopswitch.settings.declaration;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.settings.binding.MistakeCollector;
import org.hyssopswitch.settings.binding.RecordBinder;
import org.hyssopswitch.settings.binding.SettingsFailure;
import org.hyssopswitch.settings.binding.SettingsMistake;
import org.hyssopswitch.settings.binding.TreeParser;

/** Reads a tree of declarations, {@code teams/<team>/*.yaml}; all mistakes of all files are reported at once. */
public final class DeclarationReader {

    private static final String TEAMS = "teams";
    private static final String SUFFIX = ".yaml";

    private final TreeParser parser = new TreeParser();

    /**
     * Reads the declarations of all teams.
     *
     * @param root the directory that has the directory {@code teams}
     * @return the subtrees by team, with version 0
     */
    public Either<SettingsFailure, Map<TeamId, TeamConfiguration>> read(Path root) {
        List<SettingsMistake> mistakes = new ArrayList<>();
        Map<TeamId, TeamConfiguration> teams = new TreeMap<>();
        Path directory = root.resolve(TEAMS);
        for (Path entry : list(directory, mistakes)) {
            readTeam(entry, mistakes).ifPresent(t -> teams.put(t.team(), t));
        }
        if (teams.isEmpty() && mistakes.isEmpty()) {
            mistakes.add(new SettingsMistake(directory.toString(), "", "", "must have a directory for each team"));
        }
        return mistakes.isEmpty() ? Either.right(teams) : Either.left(new SettingsFailure(mistakes));
    }

    private Optional<TeamConfiguration> readTeam(Path directory, List<SettingsMistake> mistakes) {
        Optional<TeamId> team = teamOf(directory, mistakes);
        if (team.isEmpty()) {
            return Optional.empty();
        }
        Map<MistakeCollector, Optional<TeamDocument>> documents = new LinkedHashMap<>();
        for (Path file : list(directory, mistakes)) {
            MistakeCollector collector = new MistakeCollector(file.toString());
            documents.put(collector, readFile(file, collector));
        }
        checkRules(new TeamRules(team.get()), documents);
        documents.keySet().forEach(c -> mistakes.addAll(c.mistakes()));
        TeamDocument all = documents.values().stream()
                .flatMap(Optional::stream)
                .reduce(new TeamDocument(List.of(), List.of(), List.of()), TeamDocument::plus);
        return Optional.of(all.toConfiguration(team.get(), 0));
    }

    /** References are checked only when all files could be read, because they may lead into the others. */
    private static void checkRules(TeamRules rules, Map<MistakeCollector, Optional<TeamDocument>> documents) {
        documents.forEach(
                (collector, document) -> document.ifPresent(d -> rules.declare(d, collector, collector.file())));
        if (documents.values().stream().allMatch(Optional::isPresent)) {
            documents.forEach((collector, document) -> document.ifPresent(d -> rules.checkReferences(d, collector)));
        }
    }

    private static Optional<TeamId> teamOf(Path directory, List<SettingsMistake> mistakes) {
        String name = String.valueOf(directory.getFileName());
        try {
            if (!Files.isDirectory(directory)) {
                throw new IllegalArgumentException("must be a directory of a team");
            }
            return Optional.of(TeamRules.requirePlain(new TeamId(name)));
        } catch (IllegalArgumentException e) {
            mistakes.add(new SettingsMistake(directory.toString(), "", name, String.valueOf(e.getMessage())));
            return Optional.empty();
        }
    }

    private Optional<TeamDocument> readFile(Path file, MistakeCollector collector) {
        if (!file.toString().endsWith(SUFFIX)) {
            collector.add("", "", "must have a name that ends in " + SUFFIX);
            return Optional.empty();
        }
        return parser.yamlFile(file, collector)
                .flatMap(t -> new RecordBinder(collector).bind(TeamDocument.class, t, ""));
    }

    /** The entries of a directory in order of name; hidden ones are left out. */
    private static List<Path> list(Path directory, List<SettingsMistake> mistakes) {
        try (Stream<Path> entries = Files.list(directory)) {
            return entries.filter(p -> !String.valueOf(p.getFileName()).startsWith("."))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            mistakes.add(new SettingsMistake(directory.toString(), "", "", "is not a directory that can be read"));
            return List.of();
        }
    }
}
