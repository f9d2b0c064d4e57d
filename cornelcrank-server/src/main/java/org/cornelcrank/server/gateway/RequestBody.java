package org.cornelcrank.server.gateway;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Body of one caller's request, which counts for the limit of all bodies until it is closed.
 *
 * <p>Invariant: it is evicted only before it has been read in full, is released then and read no further. Not
 * thread-safe: confined to the event loop.
 */
final class RequestBody {

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.request");

    private final String requestId;
    private final MemoryLimit<Object>.Message held;
    private final Sinks.Empty<Void> evicted = Sinks.empty();
    private BodyBuffer buffer = new BodyBuffer();
    private boolean wasEvicted;

    RequestBody(String requestId, MemoryLimit<Object> memory) {
        this.requestId = Objects.requireNonNull(requestId, "requestId must not be null");
        this.held = memory.open(this, this::onEvicted);
    }

    /** Reads the body until it exceeds the maximum; empty if it is evicted before. */
    Mono<byte[]> read(Flux<ByteBuf> parts, int maxBytes) {
        return parts.map(this::append)
                .takeUntil(bodyBytes -> bodyBytes > maxBytes)
                .takeUntilOther(evicted.asMono())
                .then(Mono.fromSupplier(this::complete));
    }

    private int append(ByteBuf part) {
        BodyBuffer current = buffer;
        if (!wasEvicted) {
            current.append(part);
            held.update(current.heldBytes());
        }
        return current.size();
    }

    /** Returns the bytes, which may be in use until the request ends; null if the body was evicted. */
    private byte[] complete() {
        if (wasEvicted) {
            return null;
        }
        held.keep();
        byte[] bytes = buffer.toByteArray();
        buffer = new BodyBuffer();
        return bytes;
    }

    private void onEvicted(MemoryLimit.Eviction eviction) {
        LOGGER.atWarn()
                .addKeyValue("request", requestId)
                .addKeyValue("bodyBytes", eviction.messageBytes())
                .addKeyValue("heldBytes", eviction.heldBytes())
                .addKeyValue("maxBytes", eviction.maxBytes())
                .log("request refused, as the bodies of requests hold too much memory");
        wasEvicted = true;
        buffer = new BodyBuffer();
        evicted.tryEmitEmpty();
    }

    /** Returns whether the body was evicted, so that its request is to be refused. */
    boolean wasEvicted() {
        return wasEvicted;
    }

    /** Releases the body, as its request has ended. */
    void close() {
        held.close();
    }
}
