package org.cornelcrank.server.gateway;

import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.gateway.http.TargetResponseHead;
import org.cornelcrank.server.target.SseEventSplitter;
import reactor.core.publisher.Mono;

/**
 * Forwards a target's response to the caller; a stream is forwarded event by event, each event once and in order.
 *
 * <p>Invariants: the event ids that the caller receives have no gap and no duplicate, and no partial event is forwarded;
 * the response begins with the first event, so that it states the target which sent that. Not thread-safe: confined to
 * the event loop.
 */
final class CallReceiver implements ResponseReceiver {

    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private final GatewayCall call;
    private final SseEventSplitter splitter = new SseEventSplitter(MAX_EVENT_BYTES);
    private final ByteArrayOutputStream leadingComments = new ByteArrayOutputStream();
    private int forwardedEvents;

    /** Creates a receiver for a new attempt and discards the response held from an earlier one. */
    CallReceiver(GatewayCall call) {
        this.call = Objects.requireNonNull(call, "call must not be null");
        call.discardHeld();
    }

    @Override
    public RequestHead head() {
        return call.head();
    }

    @Override
    public byte[] body() {
        return call.body();
    }

    @Override
    public OptionalLong resumeAfterEvent() {
        return call.resumeAfterEvent();
    }

    @Override
    public long readTimeoutMs() {
        return call.readTimeoutMs();
    }

    @Override
    public boolean waitsForTarget() {
        return call.maxRuns() <= 1 || call.streaming() && call.failedRuns() + 1 >= call.maxRuns();
    }

    @Override
    public boolean hasRunLimit() {
        return call.maxRuns() > 0;
    }

    @Override
    public void onCompleteResponse(TargetResponseHead head, byte[] body) {
        if (call.streaming() || call.lastEventId() > 0) {
            throw new IllegalStateException(
                    "a stream must be resumed by events but the target sent a response without events");
        }
        call.hold(new CallResponse.Complete(head.status(), head.headers(), body));
    }

    @Override
    public void onEventBytes(TargetResponseHead head, byte[] bytes) {
        splitter.accept(bytes).forEach(event -> forward(head, event));
    }

    private void forward(TargetResponseHead head, byte[] event) {
        SplicedResponses.requireNone(event);
        if (EventIds.isComment(event)) {
            forwardComment(head, event);
            return;
        }
        long id = EventIds.of(event);
        if (id != EventIds.NONE) {
            EventIds.requireNext(id, call.lastEventId());
        } else if (call.resumable() || call.lastEventId() > 0) {
            throw new IllegalStateException("expected event " + (call.lastEventId() + 1) + " but it has no id");
        }
        if (leadingComments.size() > 0) {
            call.sendEvent(head.status(), head.headers(), EventIds.NONE, leadingComments.toByteArray());
            leadingComments.reset();
        }
        call.sendEvent(head.status(), head.headers(), id, event);
        forwardedEvents++;
    }

    /** Forwards a comment; one before the first event waits for it, as another target may send that. */
    private void forwardComment(TargetResponseHead head, byte[] comment) {
        if (call.streaming()) {
            call.sendEvent(head.status(), head.headers(), EventIds.NONE, comment);
            return;
        }
        if (leadingComments.size() + comment.length > MAX_EVENT_BYTES) {
            throw new IllegalStateException(
                    "comments before the first event must have at most " + MAX_EVENT_BYTES + " bytes");
        }
        leadingComments.writeBytes(comment);
    }

    @Override
    public int receivedEvents() {
        return forwardedEvents;
    }

    @Override
    public long heldBytes() {
        return splitter.heldBytes() + leadingComments.size() + call.unreadBytes();
    }

    @Override
    public Optional<Mono<Void>> pause() {
        return call.pause();
    }

    @Override
    public void onAttemptFailed(AttemptOutcome.Failed failure) {
        if (!failure.verdict().equals(Verdict.NOT_RUN) && failure.kind() != FailureKind.TARGET_GONE) {
            call.countFailedRun();
        }
    }

    @Override
    public void onEventsEnd(TargetResponseHead head) {
        EventIds.requireComplete(splitter);
        if (!call.streaming()) {
            EventIds.requireAny(call.lastEventId());
            call.hold(new CallResponse.Complete(head.status(), head.headers(), new byte[0]));
        }
    }

    @Override
    public void onFailure(TargetResponseHead head, byte[] body) {
        if (!call.streaming()) {
            call.hold(new CallResponse.Complete(head.status(), head.headers(), body));
        }
    }

    @Override
    public boolean reachedCaller() {
        return call.streaming();
    }

    @Override
    public ByteString collected() {
        return ByteString.EMPTY;
    }
}
