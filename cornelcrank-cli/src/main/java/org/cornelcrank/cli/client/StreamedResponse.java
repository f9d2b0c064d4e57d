package org.cornelcrank.cli.client;

import java.util.List;

/**
 * A streamed answer with the times of its tokens.
 *
 * <p>{@code status} is the HTTP status, or zero where no answer came; {@code complete} says that the stream ended in
 * {@code [DONE]}. {@code tokenAtNs} counts from the sending of the request. Immutable, thus thread-safe.
 */
public record StreamedResponse(
        int status, String verdict, boolean complete, String text, List<Long> tokenAtNs, long totalNs) {

    private static final long NS_PER_MS = 1_000_000;

    public StreamedResponse {
        tokenAtNs = List.copyOf(tokenAtNs);
    }

    public int tokens() {
        return tokenAtNs.size();
    }

    public long firstTokenMs() {
        return tokenAtNs.isEmpty() ? -1 : tokenAtNs.get(0) / NS_PER_MS;
    }

    public long totalMs() {
        return totalNs / NS_PER_MS;
    }
}
