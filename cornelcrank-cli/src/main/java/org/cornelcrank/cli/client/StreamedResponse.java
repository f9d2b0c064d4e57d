package org.cornelcrank.cli.client;

import java.util.List;

/**
 * A streamed response with the times at which its tokens were received.
 *
 * <p>{@code status} is the HTTP status, or zero if no response was received; {@code complete} is true if the stream
 * ended with {@code [DONE]}. {@code tokenTimesNs} are relative to the sending of the request. Immutable, thus
 * thread-safe.
 */
public record StreamedResponse(
        int status, String verdict, boolean complete, String text, List<Long> tokenTimesNs, long totalNs) {

    private static final long NS_PER_MS = 1_000_000;

    public StreamedResponse {
        tokenTimesNs = List.copyOf(tokenTimesNs);
    }

    public int tokens() {
        return tokenTimesNs.size();
    }

    public long firstTokenMs() {
        return tokenTimesNs.isEmpty() ? -1 : tokenTimesNs.get(0) / NS_PER_MS;
    }

    public long totalMs() {
        return totalNs / NS_PER_MS;
    }
}
