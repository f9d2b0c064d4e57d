package org.cornelcrank.server.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

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
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

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

    private final GatewayCall call = new GatewayCall(
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
                    OptionalLong.empty(),
                    Optional.empty(),
                    new DefaultHttpHeaders()),
            new byte[0],
            MAX_RUNS,
            1_000,
            0);

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
