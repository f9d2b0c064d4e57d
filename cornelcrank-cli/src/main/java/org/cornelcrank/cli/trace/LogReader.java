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
 * Reads the JSON log lines of hosts, with or without a prefix added by a log collector.
 *
 * <p>The last word before the JSON is the host name; without a prefix the file name determines the host. Lines with
 * malformed JSON are counted and skipped. Not thread-safe.
 */
public final class LogReader {

    private final ObjectMapper json = new ObjectMapper();
    private final Map<String, Integer> lineCounts = new HashMap<>();
    private int malformedLines;

    /**
     * Passes each line of a log to the listener.
     *
     * @param defaultHost the host of lines that have no prefix
     * @throws IOException if reading fails
     */
    public void read(BufferedReader log, String defaultHost, Consumer<LogLine> listener) throws IOException {
        for (String text = log.readLine(); text != null; text = log.readLine()) {
            int start = text.indexOf('{');
            if (start < 0) {
                continue;
            }
            String[] prefixWords = text.substring(0, start).trim().split("\\s+");
            String lastWord = prefixWords[prefixWords.length - 1];
            try {
                listener.accept(
                        line(json.readTree(text.substring(start)), lastWord.isEmpty() ? defaultHost : lastWord));
            } catch (JsonProcessingException e) {
                malformedLines++;
            }
        }
    }

    /** Returns the number of lines with malformed JSON, for example at the end of a truncated log. */
    public int malformedLines() {
        return malformedLines;
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
                lineCounts.merge(host, 1, Integer::sum),
                node.path("timestamp").asLong(),
                node.path("formattedMessage").asText(),
                fields);
    }
}
