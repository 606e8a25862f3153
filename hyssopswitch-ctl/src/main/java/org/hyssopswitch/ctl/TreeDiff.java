package org.hyssopswitch.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Compares trees; entries of lists are matched by their names. Verifiers of keys are not shown. */
final class TreeDiff {

    private static final String KEYS = "keys";

    private TreeDiff() {}

    static List<Difference> compare(JsonNode before, JsonNode after) {
        List<Difference> result = new ArrayList<>();
        compare("", before, after, result);
        return result;
    }

    private static void compare(String path, JsonNode before, JsonNode after, List<Difference> result) {
        if (before.equals(after)) {
            return;
        }
        boolean lists = before.isArray() || after.isArray();
        if (lists && !before.isValueNode() && !after.isValueNode()) {
            compareFields(path, entries(before), entries(after), "[", "]", result);
        } else if (before.isObject() && after.isObject() && !path.contains("." + KEYS + "[")) {
            compareFields(path, fields(before), fields(after), path.isEmpty() ? "" : ".", "", result);
        } else {
            result.add(new Difference(path, show(path, before), show(path, after)));
        }
    }

    private static void compareFields(
            String path,
            Map<String, JsonNode> before,
            Map<String, JsonNode> after,
            String open,
            String close,
            List<Difference> result) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            JsonNode old = before.getOrDefault(name, MissingNode.getInstance());
            JsonNode current = after.getOrDefault(name, MissingNode.getInstance());
            compare(path + open + name + close, old, current, result);
        }
    }

    private static Map<String, JsonNode> fields(JsonNode node) {
        Map<String, JsonNode> result = new LinkedHashMap<>();
        node.fields().forEachRemaining(f -> result.put(f.getKey(), f.getValue()));
        return result;
    }

    /** The entries of a list by name: the id, with the database for routes, or the value itself. */
    private static Map<String, JsonNode> entries(JsonNode list) {
        Map<String, JsonNode> result = new LinkedHashMap<>();
        for (JsonNode entry : list) {
            String database = entry.has("database") ? entry.get("database").asText() + "/" : "";
            result.put(entry.isObject() ? database + entry.get("id").asText() : entry.asText(), entry);
        }
        return result;
    }

    private static String show(String path, JsonNode node) {
        if (node.isMissingNode()) {
            return "";
        }
        return path.contains("." + KEYS + "[") ? "verifier " + Integer.toHexString(node.hashCode()) : node.toString();
    }
}
