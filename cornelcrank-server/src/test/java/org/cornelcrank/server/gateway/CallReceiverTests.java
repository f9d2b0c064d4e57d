package org.cornelcrank.server.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.gateway.http.RateLimit;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.gateway.http.ResponseId;
import org.cornelcrank.gateway.http.TargetResponseHead;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Plays responses of targets to one call, without a network. */
class CallReceiverTests {

    private static final int MAX_RUNS = 2;
    private static final TargetResponseHead STREAM = new TargetResponseHead(
            200,
            false,
            false,
            ResponseId.EQUAL,
            true,
            true,
            false,
            new RateLimit.None(),
            0,
            0,
            new DefaultHttpHeaders());

    private final GatewayCall call = call(true, OptionalLong.empty());

    @Test
    void streamOnItsLastPermittedRunWaitsForItsTarget() {
        CallReceiver first = new CallReceiver(call);
        first.onEventBytes(STREAM, event(1, 1));
        assertThat(first.waitsForTarget()).isFalse();
        first.onAttemptFailed(failure(Verdict.MAY_HAVE_RUN, FailureKind.TIMED_OUT));
        assertThat(new CallReceiver(call).waitsForTarget()).isTrue();
    }

    @Test
    void runsThatWereRefusedOrWhoseTargetIsGoneLeaveFurtherRuns() {
        CallReceiver receiver = new CallReceiver(call);
        receiver.onEventBytes(STREAM, event(1, 1));
        receiver.onAttemptFailed(failure(Verdict.NOT_RUN, FailureKind.OVERLOADED));
        receiver.onAttemptFailed(failure(Verdict.MAY_HAVE_RUN, FailureKind.TARGET_GONE));
        assertThat(receiver.waitsForTarget()).isFalse();
    }

    /** Its caller is better served by a retry of its own. */
    @Test
    void requestWithoutAnyResponseDoesNotWaitForItsTarget() {
        new CallReceiver(call).onAttemptFailed(failure(Verdict.MAY_HAVE_RUN, FailureKind.TIMED_OUT));
        assertThat(new CallReceiver(call).waitsForTarget()).isFalse();
    }

    @Test
    void targetIsReadNoFasterThanTheCallerReads() {
        CallReceiver receiver = new CallReceiver(call);
        Reader caller = new Reader();
        call.response()
                .subscribe(
                        response -> ((CallResponse.Streamed) response).events().subscribe(caller));
        int number = 0;
        while (receiver.pause().isEmpty()) {
            receiver.onEventBytes(STREAM, event(++number, 10_000));
        }
        assertThat(number * 10_000).isBetween(GatewayCall.MAX_UNREAD_BYTES, GatewayCall.MAX_UNREAD_BYTES + 20_000);
        Mono<Void> pause = receiver.pause().orElseThrow();
        List<Boolean> ended = new ArrayList<>();
        pause.subscribe(nothing -> {}, error -> {}, () -> ended.add(true));
        assertThat(ended).isEmpty();
        caller.request(number);
        assertThat(ended).containsExactly(true);
        assertThat(receiver.pause()).isEmpty();
    }

    static Stream<Arguments> eventsThatDoNotContinueAStream() {
        return Stream.of(
                Arguments.of("first event missing", OptionalLong.empty(), "", "id: 2\ndata: 2\n\n"),
                Arguments.of("ids from zero", OptionalLong.empty(), "", "id: 0\ndata: 1\n\n"),
                Arguments.of("an event missing", OptionalLong.empty(), "id: 1\ndata: 1\n\n", "id: 3\ndata: 3\n\n"),
                Arguments.of("an event twice", OptionalLong.empty(), "id: 1\ndata: 1\n\n", "id: 1\ndata: 1\n\n"),
                Arguments.of(
                        "ids that go back",
                        OptionalLong.empty(),
                        "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n",
                        "id: 1\ndata: other\n\n"),
                Arguments.of("taken up but begun anew", OptionalLong.of(2), "", "id: 1\ndata: 1\n\n"),
                Arguments.of("taken up at the last event", OptionalLong.of(2), "", "id: 2\ndata: 2\n\n"),
                Arguments.of("taken up behind a gap", OptionalLong.of(2), "", "id: 4\ndata: 4\n\n"));
    }

    /** Guards against events that are missing, come twice or belong to another run. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("eventsThatDoNotContinueAStream")
    void eventThatDoesNotContinueTheStreamFailsTheAttempt(
            String name, OptionalLong callersLastEvent, String sound, String rejected) {
        GatewayCall taken = call(true, callersLastEvent);
        List<String> received = read(taken);
        CallReceiver receiver = new CallReceiver(taken);
        assertThatThrownBy(() -> receiver.onEventBytes(STREAM, (sound + rejected).getBytes()))
                .isInstanceOf(IllegalStateException.class);
        assertThat(String.join("", received)).isEqualTo(sound);
        assertThat(receiver.reachedCaller()).isEqualTo(!sound.isEmpty());
    }

    /** Guards against a target that ignores the event after which it is asked to go on. */
    @Test
    void resumedAttemptThatBeginsAnewFails() {
        List<String> received = read(call);
        new CallReceiver(call).onEventBytes(STREAM, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n".getBytes());
        CallReceiver second = new CallReceiver(call);
        assertThat(second.resumeAfterEvent()).hasValue(2);
        assertThatThrownBy(() -> second.onEventBytes(
                        STREAM, "id: 1\ndata: o\n\nid: 2\ndata: o\n\nid: 3\ndata: o\n\n".getBytes()))
                .isInstanceOf(IllegalStateException.class);
        assertThat(second.receivedEvents()).isZero();
        CallReceiver third = new CallReceiver(call);
        third.onEventBytes(STREAM, "id: 3\ndata: 3\n\n".getBytes());
        assertThat(String.join("", received)).isEqualTo("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
    }

    /** Guards against a success that holds none of the stream's events. */
    @Test
    void streamThatEndsWithoutAnEventFailsTheAttempt() {
        CallReceiver receiver = new CallReceiver(call);
        assertThatThrownBy(() -> receiver.onEventsEnd(STREAM)).isInstanceOf(IllegalStateException.class);
        assertThat(call.held()).isNull();
    }

    /** Its caller may have lost the connection behind the last event. */
    @Test
    void streamThatIsTakenUpMayEndWithoutAFurtherEvent() {
        GatewayCall taken = call(true, OptionalLong.of(2));
        new CallReceiver(taken).onEventsEnd(STREAM);
        assertThat(taken.held().body()).isEmpty();
    }

    /** Guards against a stream that is resumed from its beginning behind an event whose position nobody knows. */
    @Test
    void eventWithoutAnIdFailsTheAttemptIfTheStreamMayBeResumed() {
        CallReceiver receiver = new CallReceiver(call);
        assertThatThrownBy(() -> receiver.onEventBytes(STREAM, "data: 1\n\n".getBytes()))
                .isInstanceOf(IllegalStateException.class);
        assertThat(receiver.reachedCaller()).isFalse();
    }

    @Test
    void eventsWithoutIdsReachTheCallerIfTheStreamIsNeverResumed() {
        GatewayCall single = call(false, OptionalLong.empty());
        List<String> received = read(single);
        CallReceiver receiver = new CallReceiver(single);
        receiver.onEventBytes(STREAM, "data: 1\n\ndata: 2\n\n".getBytes());
        assertThat(received).containsExactly("data: 1\n\n", "data: 2\n\n");
    }

    /** Guards against a response with the signature of a target that has sent none of its events. */
    @Test
    void commentBeforeTheFirstEventDoesNotBeginTheResponse() {
        List<String> received = read(call);
        CallReceiver first = new CallReceiver(call);
        first.onEventBytes(STREAM, ": first\n\n".getBytes());
        assertThat(first.reachedCaller()).isFalse();
        assertThat(first.receivedEvents()).isZero();
        CallReceiver second = new CallReceiver(call);
        assertThat(second.resumeAfterEvent()).isEmpty();
        second.onEventBytes(STREAM, ": second\n\nid: 1\ndata: 1\n\n: later\n\n".getBytes());
        assertThat(String.join("", received)).isEqualTo(": second\n\nid: 1\ndata: 1\n\n: later\n\n");
        assertThat(second.receivedEvents()).isEqualTo(1);
    }

    /** Guards against comments without end that are held in front of the first event. */
    @Test
    void commentsBeforeTheFirstEventAreCountedAndLimited() {
        CallReceiver receiver = new CallReceiver(call);
        byte[] emptyEvents = "\n\n".repeat(1024).getBytes();
        receiver.onEventBytes(STREAM, emptyEvents);
        assertThat(receiver.heldBytes()).isEqualTo(emptyEvents.length);
        assertThatThrownBy(() -> {
                    for (int i = 0; i < 128; i++) {
                        receiver.onEventBytes(STREAM, emptyEvents);
                    }
                })
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("comments before the first event");
    }

    /** Guards against a whole response in the place of the rest of a stream. */
    @Test
    void responseWithoutEventsDoesNotContinueAStreamThatItsCallerTakesUp() {
        GatewayCall taken = call(true, OptionalLong.of(2));
        CallReceiver receiver = new CallReceiver(taken);
        assertThatThrownBy(() -> receiver.onCompleteResponse(STREAM, "whole".getBytes()))
                .isInstanceOf(IllegalStateException.class);
        assertThat(taken.held()).isNull();
    }

    private static GatewayCall call(boolean resumable, OptionalLong lastEvent) {
        return new GatewayCall(
                new RequestId(new HostId("host"), 1, 1),
                new RequestHead(
                        "id",
                        "POST",
                        "/",
                        "a.example",
                        OptionalLong.empty(),
                        List.of(),
                        List.of(),
                        0,
                        0,
                        lastEvent,
                        Optional.empty(),
                        new DefaultHttpHeaders()),
                new byte[0],
                MAX_RUNS,
                resumable,
                1_000,
                0);
    }

    /** Returns the events that the caller receives, as they arrive. */
    private static List<String> read(GatewayCall call) {
        List<String> received = new ArrayList<>();
        call.response().subscribe(response -> ((CallResponse.Streamed) response)
                .events()
                .subscribe(event -> received.add(new String(event))));
        return received;
    }

    private static byte[] event(int id, int dataBytes) {
        return ("id: " + id + "\ndata: " + "x".repeat(dataBytes) + "\n\n").getBytes();
    }

    private static AttemptOutcome.Failed failure(Verdict verdict, FailureKind kind) {
        return new AttemptOutcome.Failed(verdict, kind, 0, 1, true, 0, ByteString.EMPTY, "");
    }

    /** A caller that reads only as many events as it is told to. */
    private static final class Reader extends BaseSubscriber<byte[]> {

        @Override
        protected void hookOnSubscribe(Subscription subscription) {
            // Nothing is read yet.
        }
    }
}
