package org.cornelcrank.server.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class LineSplitterTests {

    @Test
    void linesAreCompleteWhereverTheBytesAreSplit() {
        byte[] text = "one\r\n\ntwo\nthree".getBytes(StandardCharsets.UTF_8);
        for (int split = 0; split <= text.length; split++) {
            LineSplitter splitter = new LineSplitter(10);
            List<byte[]> lines = new ArrayList<>(splitter.accept(Arrays.copyOf(text, split)));
            lines.addAll(splitter.accept(Arrays.copyOfRange(text, split, text.length)));
            splitter.finish().ifPresent(lines::add);
            assertThat(lines.stream().map(String::new)).containsExactly("one", "two", "three");
        }
    }

    @Test
    void lineLongerThanTheLimitIsRejected() {
        LineSplitter splitter = new LineSplitter(10);
        assertThatThrownBy(() -> splitter.accept(new byte[11])).hasMessageContaining("at most 10 bytes");
    }
}
