package org.cornelcrank.server.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.gateway.http.TargetResponseHead;
import org.cornelcrank.server.target.SseEventSplitter;

/**
 * Collects the data of the events that a target makes of an item, joined by line feeds.
 *
 * <p>Invariant: the events are contiguous from the one after which the run goes on. Not thread-safe: confined to the event
 * loop.
 */
final class ItemReceiver implements ResponseReceiver {

    private static final int MAX_EVENT_BYTES = 256 * 1024;

    /** How long a target may stay silent, in ms: many times the pause between two events of a slow one. */
    private static final long SILENCE_PATIENCE_MS = 2_500;

    private final DispatchSource.Prepared item;
    private final RequestHead head;
    private final SseEventSplitter splitter = new SseEventSplitter(MAX_EVENT_BYTES);
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private long lastEventId;
    private int count;

    ItemReceiver(DispatchSource.Prepared item, RequestHead head) {
        this.item = Objects.requireNonNull(item, "item must not be null");
        this.head = Objects.requireNonNull(head, "head must not be null");
        this.lastEventId = item.resumeAfterEvent();
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
    public OptionalLong resumeAfter() {
        return item.resumeAfterEvent() == 0 ? OptionalLong.empty() : OptionalLong.of(item.resumeAfterEvent());
    }

    @Override
    public long silencePatienceMs() {
        return SILENCE_PATIENCE_MS;
    }

    @Override
    public boolean waitsForTarget() {
        return false;
    }

    @Override
    public boolean runsAreLimited() {
        return false;
    }

    @Override
    public void whole(TargetResponseHead answer, byte[] body) {
        throw new IllegalStateException("an item must be answered by events");
    }

    @Override
    public int events(TargetResponseHead answer, byte[] bytes) {
        int before = count;
        for (byte[] event : splitter.accept(bytes)) {
            add(event);
        }
        return count - before;
    }

    private void add(byte[] event) {
        long id = EventIds.of(event);
        if (id == EventIds.NONE) {
            throw new IllegalStateException("an event of an item must have an id");
        }
        if (EventIds.isKnown(id, lastEventId)) {
            return;
        }
        lastEventId = id;
        if (count > 0) {
            text.write('\n');
        }
        text.writeBytes(EventIds.data(event).getBytes(StandardCharsets.UTF_8));
        count++;
    }

    @Override
    public void eventsEnded(TargetResponseHead answer) {
        EventIds.requireWhole(splitter);
    }

    @Override
    public void failed(TargetResponseHead answer, byte[] body) {
        // The outcome says what the core needs to know.
    }

    @Override
    public boolean reachedCaller() {
        return false;
    }

    @Override
    public ByteString collected() {
        return ByteString.copyFrom(text.toByteArray());
    }
}
