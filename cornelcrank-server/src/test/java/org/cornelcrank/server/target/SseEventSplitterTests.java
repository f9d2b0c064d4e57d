package org.cornelcrank.server.target;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class SseEventSplitterTests {

    private final SseEventSplitter splitter = new SseEventSplitter(100);

    @Test
    void eventsAreCompleteWhereverTheBytesAreSplit() {
        byte[] stream = "data: a\n\ndata: b\r\n\r\ndata: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
        for (int split = 0; split <= stream.length; split++) {
            SseEventSplitter newSplitter = new SseEventSplitter(100);
            List<byte[]> events = new ArrayList<>(newSplitter.accept(Arrays.copyOf(stream, split)));
            events.addAll(newSplitter.accept(Arrays.copyOfRange(stream, split, stream.length)));
            assertThat(events).as("split at %d", split).hasSize(3);
            assertThat(new String(events.get(1), StandardCharsets.UTF_8)).isEqualTo("data: b\r\n\r\n");
        }
    }

    @Test
    void incompleteEventIsHeldBack() {
        assertThat(splitter.accept("data: half".getBytes(StandardCharsets.UTF_8)))
                .isEmpty();
    }

    @Test
    void eventLongerThanTheLimitIsRejected() {
        assertThatThrownBy(() -> splitter.accept(new byte[101])).hasMessageContaining("at most 100 bytes");
    }
}
