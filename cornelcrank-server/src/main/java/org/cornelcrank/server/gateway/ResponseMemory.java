package org.cornelcrank.server.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.TargetId;

/**
 * Limits the memory that the unfinished responses of all targets hold together.
 *
 * <p>Invariants: after each update the responses hold at most the limit; what exceeds it is evicted from the target
 * whose responses hold most, its largest response first. Thus a target whose responses hold no more than an equal share
 * of the limit, among the targets that hold anything, loses none. Not thread-safe: confined to the event loop.
 */
final class ResponseMemory {

    private final Map<TargetId, Holdings> targets = new LinkedHashMap<>();
    private final long maxBytes;
    private final Counter evictions;
    private long heldBytes;

    /**
     * Creates a limit.
     *
     * @param maxBytes the maximum number of bytes that all unfinished responses may hold together
     * @param metrics receives the limit's own metrics
     * @throws IllegalArgumentException if {@code maxBytes} is not positive
     */
    ResponseMemory(long maxBytes, MetricRegistry metrics) {
        if (maxBytes <= 0) {
            throw new IllegalArgumentException("maxBytes must be positive but was " + maxBytes);
        }
        this.maxBytes = maxBytes;
        this.evictions = metrics.counter("attempts.responses-evicted");
        metrics.registerGauge("attempts.response-bytes", this::heldBytes);
    }

    /** Registers a response that holds nothing yet; the listener must release what an evicted response holds. */
    Response open(TargetId target, EvictionListener listener) {
        return new Response(target, listener);
    }

    /** Returns how many bytes all unfinished responses hold. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns what each target's responses hold, in bytes, without targets that hold nothing. */
    Map<TargetId, Long> heldBytesByTarget() {
        Map<TargetId, Long> held = new LinkedHashMap<>();
        targets.forEach((target, holdings) -> held.put(target, holdings.heldBytes));
        return held;
    }

    private void enforceLimit() {
        List<Response> evicted = new ArrayList<>();
        while (heldBytes > maxBytes) {
            Response largest = targets.values().stream()
                    .max(Comparator.comparingLong(holdings -> holdings.heldBytes))
                    .orElseThrow()
                    .largest();
            evicted.add(largest);
            largest.pendingEviction = new Eviction(largest.heldBytes, heldBytes, maxBytes);
            largest.close();
        }
        for (Response response : evicted) {
            evictions.inc();
            response.listener.onEvicted(response.pendingEviction);
        }
    }

    /** Releases the response that it was registered for. */
    interface EvictionListener {

        /** Is called at most once, after the response has left the limit. */
        void onEvicted(Eviction eviction);
    }

    /** Why a response was evicted: what it held, and what all of them held together, in bytes. */
    record Eviction(long responseBytes, long heldBytes, long maxBytes) {}

    /** What an unfinished response holds. */
    final class Response {

        private final TargetId target;
        private final EvictionListener listener;
        private Eviction pendingEviction;
        private long heldBytes;
        private boolean closed;

        Response(TargetId target, EvictionListener listener) {
            this.target = Objects.requireNonNull(target, "target must not be null");
            this.listener = Objects.requireNonNull(listener, "listener must not be null");
        }

        /**
         * Records what the response holds now, in bytes, and evicts responses if that is too much; does nothing once
         * the response is closed or evicted.
         */
        void update(long bytes) {
            if (bytes < 0) {
                throw new IllegalArgumentException("bytes must not be negative but was " + bytes);
            }
            if (closed || bytes == heldBytes) {
                return;
            }
            record(bytes);
            enforceLimit();
        }

        private void record(long bytes) {
            Holdings holdings = targets.computeIfAbsent(target, key -> new Holdings());
            holdings.heldBytes += bytes - heldBytes;
            ResponseMemory.this.heldBytes += bytes - heldBytes;
            heldBytes = bytes;
            if (bytes > 0) {
                holdings.responses.add(this);
            } else {
                holdings.responses.remove(this);
            }
            if (holdings.responses.isEmpty()) {
                targets.remove(target);
            }
        }

        /** Releases all that the response holds; further calls have no effect. */
        void close() {
            if (!closed) {
                record(0);
                closed = true;
            }
        }
    }

    /** The responses of one target that hold anything. */
    private static final class Holdings {

        private final Set<Response> responses = new LinkedHashSet<>();
        private long heldBytes;

        Response largest() {
            return responses.stream()
                    .max(Comparator.comparingLong(response -> response.heldBytes))
                    .orElseThrow();
        }
    }
}
