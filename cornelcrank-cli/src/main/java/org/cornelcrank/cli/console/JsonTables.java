package org.cornelcrank.cli.console;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.cornelcrank.cli.client.DaemonClient;

/**
 * Formats JSON for people: an array of objects as a table, other fields with one line each.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class JsonTables {

    private static final String EMPTY_TABLE = "(none)";

    private JsonTables() {}

    /** Writes JSON unchanged but indented, for programs. */
    public static void printJson(JsonNode json, Console console) {
        try {
            console.line(DaemonClient.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("parsed JSON must be writable", e);
        }
    }

    /** Writes JSON as tables and lines for people. */
    public static void print(JsonNode json, Console console) {
        if (json.isArray()) {
            printTable(json, console);
            return;
        }
        json.fields().forEachRemaining(field -> {
            if (field.getValue().isArray() && isTable(field.getValue())) {
                console.line(field.getKey() + ":");
                printTable(field.getValue(), console);
            } else {
                console.line(field.getKey() + ": " + cell(field.getValue()));
            }
        });
    }

    /** Writes the objects of an array as a table; its columns are all fields that occur in any of them. */
    public static void printTable(JsonNode array, Console console) {
        Set<String> columns = new LinkedHashSet<>();
        array.forEach(entry -> entry.fieldNames().forEachRemaining(columns::add));
        List<List<String>> rows = new ArrayList<>();
        for (JsonNode entry : array) {
            rows.add(columns.stream().map(column -> cell(entry.path(column))).toList());
        }
        TextTable.print(List.copyOf(columns), rows, EMPTY_TABLE, console);
    }

    private static boolean isTable(JsonNode array) {
        return array.isEmpty() || array.get(0).isObject();
    }

    private static String cell(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        if (value.isTextual()) {
            return value.asText();
        }
        if (value.isObject()) {
            List<String> parts = new ArrayList<>();
            for (Map.Entry<String, JsonNode> field : value.properties()) {
                parts.add(field.getKey() + "=" + cell(field.getValue()));
            }
            return String.join(" ", parts);
        }
        return value.toString();
    }
}
