package org.cornelcrank.server.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.gateway.http.TargetResponseHead;
import org.cornelcrank.server.target.SseEventSplitter;
import reactor.core.publisher.Mono;

/**
 * Collects the data of the events that a target sends for an item, joined by line feeds.
 *
 * <p>Invariants: the events are contiguous, starting after the one at which the run resumes; the text holds exactly the
 * events that count as received. Not thread-safe: confined to the event loop.
 */
final class ItemReceiver implements ResponseReceiver {

    private static final int MAX_EVENT_BYTES = 256 * 1024;

    /** Maximum length of the collected data, in bytes; more would not fit into one page of results. */
    private static final int MAX_TEXT_BYTES = 1024 * 1024;

    /** How long a target may make no progress, in ms: many times the pause between two events of a slow target. */
    private static final long READ_TIMEOUT_MS = 2_500;

    private final DispatchSource.Prepared item;
    private final RequestHead head;
    private final SseEventSplitter splitter = new SseEventSplitter(MAX_EVENT_BYTES);
    private final List<byte[]> events = new ArrayList<>();
    private int textBytes;

    ItemReceiver(DispatchSource.Prepared item, RequestHead head) {
        this.item = Objects.requireNonNull(item, "item must not be null");
        this.head = Objects.requireNonNull(head, "head must not be null");
    }

    @Override
    public RequestHead head() {
        return head;
    }

    @Override
    public byte[] body() {
        return item.body().toByteArray();
    }

    @Override
    public OptionalLong resumeAfterEvent() {
        return item.resumeAfterEvent() == 0 ? OptionalLong.empty() : OptionalLong.of(item.resumeAfterEvent());
    }

    @Override
    public long readTimeoutMs() {
        return READ_TIMEOUT_MS;
    }

    @Override
    public boolean waitsForTarget() {
        return false;
    }

    @Override
    public boolean hasRunLimit() {
        return false;
    }

    @Override
    public void onCompleteResponse(TargetResponseHead responseHead, byte[] body) {
        throw new IllegalStateException("the response to an item must be a stream of events");
    }

    @Override
    public void onEventBytes(TargetResponseHead responseHead, byte[] bytes) {
        splitter.accept(bytes).forEach(this::addEvent);
    }

    private void addEvent(byte[] event) {
        SplicedResponses.requireNone(event);
        long id = EventIds.of(event);
        if (id == EventIds.NONE) {
            throw new IllegalStateException("an event of an item must have a numeric id");
        }
        EventIds.requireNext(id, item.resumeAfterEvent() + events.size());
        byte[] data = EventIds.data(event).getBytes(StandardCharsets.UTF_8);
        if (textBytes + data.length >= MAX_TEXT_BYTES) {
            throw new IllegalStateException("the data of an item must have less than " + MAX_TEXT_BYTES + " bytes");
        }
        events.add(data);
        textBytes += data.length + 1;
    }

    @Override
    public int receivedEvents() {
        return events.size();
    }

    @Override
    public long heldBytes() {
        return splitter.heldBytes() + textBytes;
    }

    @Override
    public Optional<Mono<Void>> pause() {
        return Optional.empty();
    }

    @Override
    public void onAttemptFailed(AttemptOutcome.Failed failure) {
        // The core decides on further runs.
    }

    @Override
    public void onEventsEnd(TargetResponseHead responseHead) {
        EventIds.requireComplete(splitter);
        EventIds.requireAny(item.resumeAfterEvent() + events.size());
    }

    @Override
    public void onFailure(TargetResponseHead responseHead, byte[] body) {
        // The outcome holds all that the core needs.
    }

    @Override
    public boolean reachedCaller() {
        return false;
    }

    @Override
    public ByteString collected() {
        ByteArrayOutputStream text = new ByteArrayOutputStream(textBytes);
        for (int i = 0; i < events.size(); i++) {
            if (i > 0) {
                text.write('\n');
            }
            text.writeBytes(events.get(i));
        }
        return ByteString.copyFrom(text.toByteArray());
    }
}
