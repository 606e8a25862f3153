package org.hyssopswitch.settings.declaration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.settings.binding.MistakeCollector;
import org.hyssopswitch.settings.binding.RecordBinder;
import org.hyssopswitch.settings.binding.SettingsFailure;
import org.hyssopswitch.settings.binding.TreeParser;

/**
 * Reads and writes the value of the platform's object {@code config/teams/<team>}: JSON in a canonical form, in which
 * equal subtrees have equal bytes. The version is not part of it; the platform gives it.
 */
public final class TeamConfigurationCodec {

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final ObjectMapper mapper = new ObjectMapper();
    private final TreeParser parser = new TreeParser();

    /**
     * Writes a subtree.
     *
     * @param team the subtree
     */
    public byte[] encode(TeamConfiguration team) {
        TeamDocument document = TeamDocument.of(team);
        ObjectNode root = NODES.objectNode();
        ArrayNode databases = root.putArray("databases");
        document.databases().forEach(d -> databases.add(database(d)));
        ArrayNode accounts = root.putArray("accounts");
        document.accounts().forEach(a -> accounts.add(account(a)));
        ArrayNode routes = root.putArray("routes");
        document.routes().forEach(r -> routes.add(route(r)));
        try {
            return mapper.writeValueAsBytes(root);
        } catch (IOException e) {
            throw new HyssopException("cannot encode the configuration of team " + team.team(), e);
        }
    }

    /**
     * Reads a subtree, as strictly as a file of declarations.
     *
     * @param team the team
     * @param version version of the object
     * @param value value of the object
     */
    public Either<SettingsFailure, TeamConfiguration> decode(TeamId team, long version, byte[] value) {
        MistakeCollector mistakes = new MistakeCollector("config/teams/" + team);
        Optional<TeamDocument> document = parser.json(value, mistakes).flatMap(tree -> bind(tree, mistakes));
        if (team.value().contains(".")) {
            mistakes.add("", team, "must be named after a team without a dot in its name");
        }
        document.ifPresent(d -> {
            TeamRules rules = new TeamRules(team);
            rules.declare(d, mistakes, "field");
            rules.checkReferences(d, mistakes);
        });
        return document.isPresent() && mistakes.isEmpty()
                ? Either.right(document.get().toConfiguration(team, version))
                : Either.left(new SettingsFailure(mistakes.mistakes()));
    }

    private static Optional<TeamDocument> bind(JsonNode tree, MistakeCollector mistakes) {
        return new RecordBinder(mistakes).bind(TeamDocument.class, tree, "");
    }

    private static ObjectNode database(DatabaseEntry database) {
        ObjectNode node = NODES.objectNode();
        node.put("id", database.id().value());
        node.put("slots", database.slots());
        node.put("connections", database.connections());
        ArrayNode endpoints = node.putArray("endpoints");
        for (DatabaseEntry.EndpointEntry endpoint : database.endpoints()) {
            ObjectNode entry = endpoints.addObject();
            entry.put("id", endpoint.id().value());
            entry.put("dataCentre", endpoint.dataCentre().value());
            entry.put("cell", endpoint.cell().value());
            entry.put("host", endpoint.host());
            entry.put("port", endpoint.port());
            entry.put("leaving", endpoint.leaving());
        }
        return node;
    }

    private static ObjectNode account(AccountEntry account) {
        ObjectNode node = NODES.objectNode();
        node.put("id", account.id().value());
        ObjectNode rate = node.putObject("rate");
        rate.put("perSecond", account.rate().perSecond());
        rate.put("burst", account.rate().burst());
        ArrayNode databases = node.putArray("databases");
        account.databases().forEach(d -> databases.add(d.value()));
        ArrayNode keys = node.putArray("keys");
        for (AccountEntry.KeyEntry key : account.keys()) {
            ObjectNode entry = keys.addObject();
            entry.put("id", key.id().value());
            entry.put("salt", key.salt());
            entry.put("iterations", key.iterations());
            entry.put("storedKey", key.storedKey());
            entry.put("serverKey", key.serverKey());
        }
        return node;
    }

    private static ObjectNode route(RouteEntry route) {
        ObjectNode node = NODES.objectNode();
        node.put("id", route.id().value());
        node.put("database", route.database().value());
        node.put("read", route.read());
        node.put("maxAgeMillis", route.maxAgeMillis());
        node.put("repeatable", route.repeatable());
        node.put("open", route.open());
        return node;
    }
}
