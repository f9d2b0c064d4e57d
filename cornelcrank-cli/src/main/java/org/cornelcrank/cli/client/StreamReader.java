package org.cornelcrank.cli.client;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Gathers the tokens of one stream of server-sent events and notes when they came.
 *
 * <p>Not thread-safe: used by one request at a time.
 */
final class StreamReader {

    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final long sentNs;
    private final List<Long> tokenAtNs = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();
    private final StringBuilder partialLine = new StringBuilder();
    private int status;
    private String verdict = "";
    private boolean complete;

    StreamReader(long sentNs) {
        this.sentNs = sentNs;
    }

    void head(int newStatus, String newVerdict) {
        status = newStatus;
        verdict = newVerdict;
    }

    void accept(String part) {
        partialLine.append(part);
        int end = partialLine.indexOf("\n");
        while (end >= 0) {
            line(partialLine.substring(0, end).strip());
            partialLine.delete(0, end + 1);
            end = partialLine.indexOf("\n");
        }
    }

    StreamedResponse answer() {
        return new StreamedResponse(status, verdict, complete, text.toString(), tokenAtNs, System.nanoTime() - sentNs);
    }

    private void line(String line) {
        if (!line.startsWith(DATA)) {
            return;
        }
        String data = line.substring(DATA.length());
        if (data.equals(DONE)) {
            complete = true;
            return;
        }
        String token = tokenOf(data);
        if (!token.isEmpty()) {
            tokenAtNs.add(System.nanoTime() - sentNs);
            text.append(token);
        }
    }

    private static String tokenOf(String data) {
        try {
            JsonNode choice = DaemonClient.JSON.readTree(data).path("choices").path(0);
            return choice.path("delta")
                    .path("content")
                    .asText(choice.path("text").asText(""));
        } catch (JsonProcessingException e) {
            return "";
        }
    }
}
