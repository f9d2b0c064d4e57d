package org.cornelcrank.server.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.gateway.http.RateLimit;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.gateway.http.ResponseId;
import org.cornelcrank.gateway.http.TargetResponseHead;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Plays streams of events for an item, without a network. */
class ItemReceiverTests {

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

    /** Guards against a text that holds events which do not count, and which the next run therefore repeats. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "no event\n\n",
                "id: x\ndata: 4\n\n",
                "id: 5\ndata: 5\n\n",
                "id: 99999999999999999999\ndata: 4\n\n",
                "data: without id\n\n"
            })
    void eventsBeforeARejectedOneOfTheSameBlockCount(String rejected) {
        ItemReceiver receiver = receiver(0);
        receiver.onEventBytes(STREAM, events(1, 1));
        assertThatThrownBy(() -> receiver.onEventBytes(STREAM, bytes(text(events(2, 3)) + rejected)))
                .isInstanceOf(IllegalStateException.class);
        assertThat(receiver.receivedEvents()).isEqualTo(3);
        assertThat(receiver.collected().toStringUtf8()).isEqualTo("1\n2\n3");
    }

    /** Guards against a text that joins two runs, or whose events the run was not asked for. */
    @ParameterizedTest
    @CsvSource({"0, 0", "0, 2", "2, 0", "2, 1", "2, 2", "2, 4"})
    void runThatBeginsElsewhereThanItWasAskedAddsNothing(long resumeAfter, int first) {
        ItemReceiver receiver = receiver(resumeAfter);
        assertThatThrownBy(() -> receiver.onEventBytes(STREAM, events(first, 5)))
                .isInstanceOf(IllegalStateException.class);
        assertThat(receiver.receivedEvents()).isZero();
        assertThat(receiver.collected().toStringUtf8()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 2})
    void eventThatComesTwiceEndsTheRunAndLeavesNoTrace(long resumeAfter) {
        ItemReceiver receiver = receiver(resumeAfter);
        int next = (int) resumeAfter + 1;
        receiver.onEventBytes(STREAM, events(next, next + 1));
        assertThatThrownBy(() -> receiver.onEventBytes(STREAM, events(next, next + 2)))
                .isInstanceOf(IllegalStateException.class);
        assertThat(receiver.collected().toStringUtf8()).isEqualTo(next + "\n" + (next + 1));
    }

    /** Guards against an item that is completed without any text. */
    @Test
    void streamThatEndsWithoutAnEventIsNoResult() {
        assertThatThrownBy(() -> receiver(0).onEventsEnd(STREAM)).isInstanceOf(IllegalStateException.class);
    }

    /** The connection of the run before may have been lost behind the last event. */
    @Test
    void resumedStreamMayEndWithoutAFurtherEvent() {
        ItemReceiver receiver = receiver(2);
        receiver.onEventsEnd(STREAM);
        assertThat(receiver.receivedEvents()).isZero();
    }

    @Test
    void eventThatWouldExceedTheLimitOfTheTextLeavesNoTrace() {
        ItemReceiver receiver = receiver(0);
        String half = "x".repeat(200 * 1024);
        for (int id = 1; id <= 5; id++) {
            receiver.onEventBytes(STREAM, bytes("id: " + id + "\ndata: " + half + "\n\n"));
        }
        assertThatThrownBy(() -> receiver.onEventBytes(STREAM, bytes("id: 6\ndata: " + half + "\n\n")))
                .isInstanceOf(IllegalStateException.class);
        assertThat(receiver.receivedEvents()).isEqualTo(5);
        assertThat(receiver.collected().toStringUtf8()).isEqualTo(String.join("\n", half, half, half, half, half));
    }

    /** Whatever a target sends, and however it is split, the next run resumes after the last event of the text. */
    @Property
    void textHoldsTheEventsThatCount(
            @ForAll @Size(max = 12) List<@IntRange(min = 0, max = 9) Integer> ids,
            @ForAll @IntRange(min = 0, max = 3) int resumeAfter,
            @ForAll @IntRange(min = 1, max = 40) int blockBytes) {
        ItemReceiver receiver = receiver(resumeAfter);
        byte[] stream = bytes(ids.stream()
                .map(id -> id == 9 ? "no event\n\n" : "id: " + id + "\ndata: " + id + "\n\n")
                .collect(Collectors.joining()));
        try {
            for (int from = 0; from < stream.length; from += blockBytes) {
                int to = Math.min(stream.length, from + blockBytes);
                receiver.onEventBytes(STREAM, Arrays.copyOfRange(stream, from, to));
            }
        } catch (IllegalStateException e) {
            // The attempt ends here; what it has received must still be consistent.
        }
        String expected = IntStream.rangeClosed(resumeAfter + 1, resumeAfter + receiver.receivedEvents())
                .mapToObj(Integer::toString)
                .collect(Collectors.joining("\n"));
        assertThat(receiver.collected().toStringUtf8()).isEqualTo(expected);
    }

    private static ItemReceiver receiver(long resumeAfter) {
        return new ItemReceiver(
                new DispatchSource.Prepared("item", "a.example", "POST", "/", Map.of(), ByteString.EMPTY, resumeAfter),
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
                        new DefaultHttpHeaders()));
    }

    private static byte[] events(int from, int to) {
        return bytes(IntStream.rangeClosed(from, to)
                .mapToObj("id: %1$d\ndata: %1$d\n\n"::formatted)
                .collect(Collectors.joining()));
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
