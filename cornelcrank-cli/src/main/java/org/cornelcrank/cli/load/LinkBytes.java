package org.cornelcrank.cli.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.cornelcrank.cli.client.DaemonClient;

/**
 * Reads from the daemons' state dumps the number of bytes sent over the link between the regions, by purpose.
 *
 * <p>Immutable, thus thread-safe.
 */
record LinkBytes(List<DaemonClient> operators) {

    private static final String FIELD_PREFIX = "linkBytes";

    Map<String, Long> read() {
        Map<String, Long> bytes = new TreeMap<>();
        for (DaemonClient operator : operators) {
            collect(operator.get("/admin/dump?format=json").json(), bytes);
        }
        return bytes;
    }

    private static void collect(JsonNode node, Map<String, Long> bytes) {
        node.properties().forEach(field -> {
            if (field.getKey().startsWith(FIELD_PREFIX) && field.getValue().isNumber()) {
                bytes.merge(
                        field.getKey().substring(FIELD_PREFIX.length()).toLowerCase(Locale.ROOT),
                        field.getValue().asLong(),
                        Long::sum);
            }
        });
        node.forEach(child -> collect(child, bytes));
    }
}
