package org.cornelcrank.server.target;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cornelcrank.core.CacheEvent;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetOrder;
import org.cornelcrank.core.TargetReport;

/**
 * Parses the JSON reports of targets and writes orders to targets as JSON.
 *
 * <p>Thread-safe.
 */
final class TargetReports {

    private static final int HEX_RADIX = 16;

    private final ObjectMapper json;

    TargetReports(ObjectMapper json) {
        this.json = json;
    }

    TargetReport parseLoad(TargetId target, byte[] body) {
        JsonNode node = parse(body);
        Set<String> loaded = new TreeSet<>();
        node.path("loaded").forEach(name -> loaded.add(name.asText()));
        return new TargetReport(
                target,
                node.path("measuredAtMs").asLong(),
                node.path("slots").asInt(),
                node.path("running").asInt(),
                node.path("queued").asInt(),
                loaded,
                node.path("leaving").asBoolean(),
                node.path("fencingNumber").asLong());
    }

    CacheEvents parseCacheEvents(byte[] body, long after) {
        JsonNode node = parse(body);
        List<CacheEvent> changes = new ArrayList<>();
        long expected = after;
        boolean gap = node.path("oldest").asLong() > after;
        for (JsonNode event : node.path("events")) {
            long sequence = event.path("sequence").asLong();
            gap |= sequence > expected;
            expected = sequence + 1;
            long prefixHash = Long.parseUnsignedLong(event.path("prefixHash").asText(), HEX_RADIX);
            changes.add(new CacheEvent(prefixHash, event.path("cached").asBoolean()));
        }
        return new CacheEvents(changes, node.path("next").asLong(expected), gap);
    }

    byte[] writeOrder(TargetOrder order) {
        ObjectNode node = json.createObjectNode();
        node.put("role", order.role());
        node.put("fencingNumber", order.fencingNumber());
        order.loaded().stream().sorted().forEach(node.putArray("loaded")::add);
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private JsonNode parse(byte[] body) {
        try {
            return json.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException("report must be JSON", e);
        }
    }

    /** Changes of a prefix cache, the sequence number to continue from, and whether events are missing. */
    record CacheEvents(List<CacheEvent> changes, long next, boolean gap) {}
}
