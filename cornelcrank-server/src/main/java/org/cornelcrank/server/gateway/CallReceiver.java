package org.cornelcrank.server.gateway;

import java.util.Objects;
import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.gateway.http.TargetResponseHead;
import org.cornelcrank.server.target.SseEventSplitter;

/**
 * Passes what a target answers on to a caller: whole events, each once and in order.
 *
 * <p>Invariant: the ids that the caller sees have no gap and no repeat; half an event is never passed on. Not
 * thread-safe: confined to the event loop.
 */
final class CallReceiver implements ResponseReceiver {

    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private final GatewayCall call;
    private final SseEventSplitter splitter = new SseEventSplitter(MAX_EVENT_BYTES);

    /** Creates a receiver for a new attempt, which forgets an answer that an earlier one has left. */
    CallReceiver(GatewayCall call) {
        this.call = Objects.requireNonNull(call, "call must not be null");
        call.drop();
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
    public OptionalLong resumeAfter() {
        return call.resumeAfter();
    }

    @Override
    public long silencePatienceMs() {
        return call.silencePatienceMs();
    }

    @Override
    public boolean waitsForTarget() {
        return call.maxRuns() <= 1;
    }

    @Override
    public boolean runsAreLimited() {
        return call.maxRuns() > 0;
    }

    @Override
    public void whole(TargetResponseHead head, byte[] body) {
        if (call.streaming()) {
            throw new IllegalStateException("a stream must not go on with an answer that is none");
        }
        call.hold(new CallResponse.Whole(head.status(), head.headers(), body));
    }

    @Override
    public int events(TargetResponseHead head, byte[] bytes) {
        int passed = 0;
        for (byte[] event : splitter.accept(bytes)) {
            passed += pass(head, event) ? 1 : 0;
        }
        return passed;
    }

    private boolean pass(TargetResponseHead head, byte[] event) {
        long id = EventIds.of(event);
        if (id != EventIds.NONE && call.streaming() && EventIds.isKnown(id, call.lastEventId())) {
            return false;
        }
        call.event(head.status(), head.headers(), id, event);
        return true;
    }

    @Override
    public void eventsEnded(TargetResponseHead head) {
        EventIds.requireWhole(splitter);
        if (!call.streaming()) {
            call.hold(new CallResponse.Whole(head.status(), head.headers(), new byte[0]));
        }
    }

    @Override
    public void failed(TargetResponseHead head, byte[] body) {
        if (!call.streaming()) {
            call.hold(new CallResponse.Whole(head.status(), head.headers(), body));
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
