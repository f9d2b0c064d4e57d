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
    void eventsAreWholeWhereverTheBytesAreCut() {
        byte[] stream = "data: a\n\ndata: b\r\n\r\ndata: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= stream.length; cut++) {
            SseEventSplitter fresh = new SseEventSplitter(100);
            List<byte[]> events = new ArrayList<>(fresh.accept(Arrays.copyOf(stream, cut)));
            events.addAll(fresh.accept(Arrays.copyOfRange(stream, cut, stream.length)));
            assertThat(events).as("cut at %d", cut).hasSize(3);
            assertThat(new String(events.get(1), StandardCharsets.UTF_8)).isEqualTo("data: b\r\n\r\n");
        }
    }

    @Test
    void anEventThatIsNotWholeIsHeldBack() {
        assertThat(splitter.accept("data: half".getBytes(StandardCharsets.UTF_8)))
                .isEmpty();
    }

    @Test
    void anEventBeyondTheBoundIsRefused() {
        assertThatThrownBy(() -> splitter.accept(new byte[101])).hasMessageContaining("at most 100 bytes");
    }
}
