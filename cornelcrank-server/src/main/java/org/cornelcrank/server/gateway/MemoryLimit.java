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
 * Limits the memory that messages hold together, such as the unfinished responses of all targets.
 *
 * <p>Invariants: after each update the messages hold at most the limit, unless those that are kept hold more by
 * themselves; what exceeds it is evicted from the sender whose messages hold most, its largest message first. Thus a
 * sender whose messages hold no more than an equal share of the limit, among the senders that hold anything, loses none
 * while none are kept. Not thread-safe: confined to the event loop.
 *
 * @param <S> the senders
 */
final class MemoryLimit<S> {

    private final Map<S, Holdings> senders = new LinkedHashMap<>();
    private final long maxBytes;
    private final Counter evictions;
    private long heldBytes;

    /**
     * Creates a limit.
     *
     * @param maxBytes the maximum number of bytes that all messages may hold together
     * @param evictions counts evicted messages
     * @throws IllegalArgumentException if {@code maxBytes} is not positive
     */
    MemoryLimit(long maxBytes, Counter evictions) {
        if (maxBytes <= 0) {
            throw new IllegalArgumentException("maxBytes must be positive but was " + maxBytes);
        }
        this.maxBytes = maxBytes;
        this.evictions = Objects.requireNonNull(evictions, "evictions must not be null");
    }

    /** Returns the limit of the unfinished responses of all targets. */
    static MemoryLimit<TargetId> ofResponses(long maxBytes, MetricRegistry metrics) {
        MemoryLimit<TargetId> limit = new MemoryLimit<>(maxBytes, metrics.counter("attempts.responses-evicted"));
        metrics.registerGauge("attempts.response-bytes", limit::heldBytes);
        return limit;
    }

    /** Returns the limit of the bodies of all callers' requests; each request is a sender of its own. */
    static MemoryLimit<Object> ofRequestBodies(long maxBytes, MetricRegistry metrics) {
        MemoryLimit<Object> limit = new MemoryLimit<>(maxBytes, metrics.counter("gateway.bodies-evicted"));
        metrics.registerGauge("gateway.body-bytes", limit::heldBytes);
        return limit;
    }

    /** Registers a message that holds nothing yet; the listener must release what an evicted message holds. */
    Message open(S sender, EvictionListener listener) {
        return new Message(sender, listener);
    }

    /** Returns how many bytes all messages hold. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns what each sender's messages hold that can be evicted, in bytes, without senders that hold nothing. */
    Map<S, Long> heldBytesBySender() {
        Map<S, Long> held = new LinkedHashMap<>();
        senders.forEach((sender, holdings) -> held.put(sender, holdings.heldBytes));
        return held;
    }

    private void enforceLimit() {
        List<Message> evicted = new ArrayList<>();
        while (heldBytes > maxBytes && !senders.isEmpty()) {
            Message largest = senders.values().stream()
                    .max(Comparator.comparingLong(holdings -> holdings.heldBytes))
                    .orElseThrow()
                    .largest();
            evicted.add(largest);
            largest.pendingEviction = new Eviction(largest.heldBytes, heldBytes, maxBytes);
            largest.close();
        }
        for (Message message : evicted) {
            evictions.inc();
            message.listener.onEvicted(message.pendingEviction);
        }
    }

    /** Releases the message that it was registered for. */
    interface EvictionListener {

        /** Is called at most once, after the message has left the limit. */
        void onEvicted(Eviction eviction);
    }

    /** Why a message was evicted: what it held, and what all of them held together, in bytes. */
    record Eviction(long messageBytes, long heldBytes, long maxBytes) {}

    /** What a message holds. */
    final class Message {

        private final S sender;
        private final EvictionListener listener;
        private Eviction pendingEviction;
        private long heldBytes;
        private boolean kept;
        private boolean closed;

        Message(S sender, EvictionListener listener) {
            this.sender = Objects.requireNonNull(sender, "sender must not be null");
            this.listener = Objects.requireNonNull(listener, "listener must not be null");
        }

        /**
         * Records what the message holds now, in bytes, and evicts messages if that is too much; does nothing once the
         * message is kept, closed or evicted.
         */
        void update(long bytes) {
            if (bytes < 0) {
                throw new IllegalArgumentException("bytes must not be negative but was " + bytes);
            }
            if (kept || closed || bytes == heldBytes) {
                return;
            }
            record(bytes);
            enforceLimit();
        }

        private void record(long bytes) {
            Holdings holdings = senders.computeIfAbsent(sender, key -> new Holdings());
            holdings.heldBytes += bytes - heldBytes;
            MemoryLimit.this.heldBytes += bytes - heldBytes;
            heldBytes = bytes;
            if (bytes > 0) {
                holdings.messages.add(this);
            } else {
                holdings.messages.remove(this);
            }
            if (holdings.messages.isEmpty()) {
                senders.remove(sender);
            }
        }

        /** Counts what the message holds until it is closed, and never evicts it; for messages that are in use. */
        void keep() {
            if (!kept && !closed) {
                long keptBytes = heldBytes;
                record(0);
                heldBytes = keptBytes;
                MemoryLimit.this.heldBytes += keptBytes;
                kept = true;
            }
        }

        /** Releases all that the message holds; further calls have no effect. */
        void close() {
            if (closed) {
                return;
            }
            closed = true;
            if (kept) {
                MemoryLimit.this.heldBytes -= heldBytes;
            } else {
                record(0);
            }
        }
    }

    /** The messages of one sender that hold anything and can be evicted. */
    private final class Holdings {

        private final Set<Message> messages = new LinkedHashSet<>();
        private long heldBytes;

        Message largest() {
            return messages.stream()
                    .max(Comparator.comparingLong(message -> message.heldBytes))
                    .orElseThrow();
        }
    }
}
