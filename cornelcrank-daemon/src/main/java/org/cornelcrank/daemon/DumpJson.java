package org.cornelcrank.daemon;

import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Renders a state dump as JSON.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class DumpJson {

    private DumpJson() {}

    /**
     * Renders a dump.
     *
     * @param dump the state dump
     * @param json creates the JSON nodes
     * @return an object with the host, the time and the sections
     */
    public static ObjectNode render(StateDump dump, ObjectMapper json) {
        ObjectNode root = json.createObjectNode();
        root.put("host", dump.host().value());
        root.put("atMs", dump.atMs());
        ObjectNode sections = root.putObject("sections");
        for (StateDump.Section section : dump.sections()) {
            ObjectNode node = sections.putObject(section.name());
            section.fields().forEach(field -> node.put(field.name(), field.value()));
            section.tables().forEach(table -> addTable(node.putArray(table.name()), table));
        }
        return root;
    }

    private static void addTable(ArrayNode rows, StateDump.Table table) {
        for (List<String> row : table.rows()) {
            ObjectNode node = rows.addObject();
            for (int column = 0; column < row.size(); column++) {
                node.put(table.columns().get(column), row.get(column));
            }
        }
    }
}
