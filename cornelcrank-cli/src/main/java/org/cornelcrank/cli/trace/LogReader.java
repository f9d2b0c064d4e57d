package org.cornelcrank.cli.trace;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads the JSON lines that hosts write, with or without what a collector has put before them.
 *
 * <p>The last word before the JSON names the host; where there is none the file does. Lines that are no JSON are counted
 * and passed over. Not thread-safe.
 */
public final class LogReader {

    private final ObjectMapper json = new ObjectMapper();
    private final Map<String, Integer> numbers = new HashMap<>();
    private int unreadable;

    /**
     * Tells of each line of a log.
     *
     * @param hostOfFile the host where a line does not name one
     * @throws IOException if reading fails
     */
    public void read(BufferedReader log, String hostOfFile, Consumer<LogLine> listener) throws IOException {
        for (String text = log.readLine(); text != null; text = log.readLine()) {
            int start = text.indexOf('{');
            if (start < 0) {
                continue;
            }
            String[] before = text.substring(0, start).trim().split("\\s+");
            String last = before[before.length - 1];
            try {
                listener.accept(line(json.readTree(text.substring(start)), last.isEmpty() ? hostOfFile : last));
            } catch (JsonProcessingException e) {
                unreadable++;
            }
        }
    }

    /** Returns how many lines began like JSON and were none, as where a log was cut. */
    public int unreadable() {
        return unreadable;
    }

    private LogLine line(JsonNode node, String host) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (JsonNode pair : node.path("kvpList")) {
            pair.properties()
                    .forEach(
                            field -> fields.put(field.getKey(), field.getValue().asText()));
        }
        return new LogLine(
                host,
                numbers.merge(host, 1, Integer::sum),
                node.path("timestamp").asLong(),
                node.path("formattedMessage").asText(),
                fields);
    }
}
