package org.hyssopswitch.settings.declaration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.settings.binding.MistakeCollector;

/**
 * The rules that hold across the declarations of one team.
 *
 * <p>Names of databases, endpoints and client accounts begin with the team's name and a dot, so that no team can take
 * over a name of another; client accounts and routes refer to databases of their own team only.
 */
final class TeamRules {

    private final TeamId team;
    private final Map<String, String> seen = new HashMap<>();
    private final Set<DatabaseId> databases = new HashSet<>();

    TeamRules(TeamId team) {
        this.team = team;
    }

    /** Refuses a name with a dot, whose prefix could be another team's. */
    static TeamId requirePlain(TeamId team) {
        if (team.value().contains(".")) {
            throw new IllegalArgumentException("the name of a team must not contain a dot, but is '" + team + "'");
        }
        return team;
    }

    /** Takes in the names of a document; repeated and foreign names are mistakes. */
    void declare(TeamDocument document, MistakeCollector mistakes, String source) {
        for (int i = 0; i < document.databases().size(); i++) {
            declareDatabase(document.databases().get(i), mistakes, source, "databases[" + i + "]");
        }
        for (int i = 0; i < document.accounts().size(); i++) {
            declareAccount(document.accounts().get(i), mistakes, source, "accounts[" + i + "]");
        }
        for (int i = 0; i < document.routes().size(); i++) {
            RouteEntry route = document.routes().get(i);
            unique("route", route.database() + "/" + route.id(), mistakes, source, "routes[" + i + "].id");
        }
    }

    /** Checks the references of a document, after all documents of the team are declared. */
    void checkReferences(TeamDocument document, MistakeCollector mistakes) {
        for (int i = 0; i < document.accounts().size(); i++) {
            List<DatabaseId> used = document.accounts().get(i).databases();
            for (int j = 0; j < used.size(); j++) {
                reference(used.get(j), mistakes, "accounts[" + i + "].databases[" + j + "]");
            }
        }
        for (int i = 0; i < document.routes().size(); i++) {
            reference(document.routes().get(i).database(), mistakes, "routes[" + i + "].database");
        }
    }

    private void declareDatabase(DatabaseEntry database, MistakeCollector mistakes, String source, String path) {
        databases.add(database.id());
        owned(database.id().value(), mistakes, path + ".id");
        unique("database", database.id().value(), mistakes, source, path + ".id");
        for (int i = 0; i < database.endpoints().size(); i++) {
            DatabaseEntry.EndpointEntry endpoint = database.endpoints().get(i);
            String field = path + ".endpoints[" + i + "]";
            owned(endpoint.id().value(), mistakes, field + ".id");
            unique("endpoint", endpoint.id().value(), mistakes, source, field + ".id");
            unique("address", endpoint.host() + ":" + endpoint.port(), mistakes, source, field);
        }
    }

    private void declareAccount(AccountEntry account, MistakeCollector mistakes, String source, String path) {
        owned(account.id().value(), mistakes, path + ".id");
        unique("account", account.id().value(), mistakes, source, path + ".id");
        Set<KeyId> keys = new HashSet<>();
        for (int i = 0; i < account.keys().size(); i++) {
            KeyId key = account.keys().get(i).id();
            if (!keys.add(key)) {
                mistakes.add(path + ".keys[" + i + "].id", key, "is declared twice");
            }
        }
    }

    private void owned(String name, MistakeCollector mistakes, String path) {
        if (!name.startsWith(team + ".")) {
            mistakes.add(path, name, "must begin with the name of the team and a dot: '" + team + ".'");
        }
    }

    private void unique(String kind, String name, MistakeCollector mistakes, String source, String path) {
        String earlier = seen.putIfAbsent(kind + " " + name, source + " " + path);
        if (earlier != null) {
            mistakes.add(path, name, "is declared already at " + earlier);
        }
    }

    private void reference(DatabaseId database, MistakeCollector mistakes, String path) {
        if (!databases.contains(database)) {
            mistakes.add(path, database, "names no database of team " + team);
        }
    }
}
