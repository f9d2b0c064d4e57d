package org.cornelcrank.server.gateway;

import org.cornelcrank.gateway.http.TargetAnswerHead;
import org.cornelcrank.server.target.SseEventSplitter;

/**
 * Passes the whole events of one attempt on to its caller, each once and in order.
 *
 * <p>Invariant: the ids that the caller sees have no gap and no repeat; half an event is never passed on. Not
 * thread-safe: confined to the event loop.
 */
final class EventRelay {

    private final GatewayCall call;
    private final TargetAnswerHead head;
    private final SseEventSplitter splitter;

    EventRelay(GatewayCall call, TargetAnswerHead head, int maxEventBytes) {
        this.call = call;
        this.head = head;
        this.splitter = new SseEventSplitter(maxEventBytes);
    }

    /**
     * Takes the next bytes; returns how many events were passed on.
     *
     * @throws IllegalStateException if an event is missing or too long
     */
    int accept(byte[] bytes) {
        int passed = 0;
        for (byte[] event : splitter.accept(bytes)) {
            passed += pass(event) ? 1 : 0;
        }
        return passed;
    }

    private boolean pass(byte[] event) {
        long id = EventIds.of(event);
        if (id != EventIds.NONE && call.streaming()) {
            if (id <= call.lastEventId()) {
                return false;
            }
            if (id != call.lastEventId() + 1) {
                throw new IllegalStateException(
                        "event " + (call.lastEventId() + 1) + " must follow but " + id + " came");
            }
        }
        call.event(head.status(), head.headers(), id, event);
        return true;
    }

    /** Takes the end of the answer; one without any event is whole as well. */
    void end() {
        if (!splitter.empty()) {
            throw new IllegalStateException("the answer must not end in the middle of an event");
        }
        if (!call.streaming()) {
            call.hold(new CallAnswer.Whole(head.status(), head.headers(), new byte[0]));
        }
    }
}
