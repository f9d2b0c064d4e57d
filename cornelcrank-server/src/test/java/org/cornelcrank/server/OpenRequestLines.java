package org.cornelcrank.server;

import java.util.List;
import java.util.Set;

/** Finds the lines in which a daemon states requests that have not ended; there are none once no caller waits. */
public final class OpenRequestLines {

    private static final Set<String> GAUGES =
            Set.of("gateway_open_requests", "gateway_open_calls", "gateway_unfinished_responses", "attempts_running");
    private static final String REQUESTS_TABLE = "requests: ";
    private static final String ZERO = "0.0";

    private OpenRequestLines() {}

    /** Returns the gauges of open requests that are not zero, or are missing. */
    public static List<String> ofMetrics(String metrics) {
        return GAUGES.stream()
                .filter(gauge -> metrics.lines().noneMatch(line -> line.equals(gauge + " " + ZERO)))
                .map(gauge -> metrics.lines()
                        .filter(line -> line.startsWith(gauge + " "))
                        .findFirst()
                        .orElse(gauge + " is missing"))
                .toList();
    }

    /** Returns the heading of the table of the requests that are being routed if it has rows. */
    public static List<String> ofDump(String dump) {
        return dump.lines()
                .map(String::strip)
                .filter(line -> line.startsWith(REQUESTS_TABLE) && !line.equals(REQUESTS_TABLE + "0"))
                .toList();
    }
}
