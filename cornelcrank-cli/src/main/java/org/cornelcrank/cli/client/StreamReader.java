package org.cornelcrank.cli.client;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Collects the tokens of one stream of server-sent events and records when each was received.
 *
 * <p>Not thread-safe: used for a single request.
 */
final class StreamReader {

    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final long sentNs;
    private final List<Long> tokenTimesNs = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();
    private final StringBuilder partialLine = new StringBuilder();
    private int status;
    private String verdict = "";
    private boolean complete;

    StreamReader(long sentNs) {
        this.sentNs = sentNs;
    }

    void setHead(int newStatus, String newVerdict) {
        status = newStatus;
        verdict = newVerdict;
    }

    void accept(String part) {
        partialLine.append(part);
        int end = partialLine.indexOf("\n");
        while (end >= 0) {
            acceptLine(partialLine.substring(0, end).strip());
            partialLine.delete(0, end + 1);
            end = partialLine.indexOf("\n");
        }
    }

    StreamedResponse toResponse() {
        return new StreamedResponse(
                status, verdict, complete, text.toString(), tokenTimesNs, System.nanoTime() - sentNs);
    }

    private void acceptLine(String line) {
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
            tokenTimesNs.add(System.nanoTime() - sentNs);
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
