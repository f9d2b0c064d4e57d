package org.cornelcrank.server.target;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TokenStreamTests {

    private static final String OPENING =
            "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n";
    private static final String TOKEN = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n";
    private static final String COMPLETION_TOKEN = "data: {\"choices\":[{\"text\":\"x\"}]}\n\n";
    private static final String DONE = "data: [DONE]\n\n";

    @Test
    void onlyEventsWithTextCountAsTokens() {
        TokenStream stream = new TokenStream(new ObjectMapper(), 0);
        assertThat(stream.accept(bytes(OPENING))).isTrue();
        assertThat(stream.accept(bytes(TOKEN))).isTrue();
        assertThat(stream.accept(bytes(COMPLETION_TOKEN))).isTrue();
        assertThat(stream.tokens()).isEqualTo(2);
        assertThat(stream.done()).isFalse();
    }

    @Test
    void resumedStreamContinuesCountingAndSkipsTheSecondOpening() {
        TokenStream stream = new TokenStream(new ObjectMapper(), 7);
        assertThat(stream.accept(bytes(OPENING))).isFalse();
        assertThat(stream.accept(bytes(TOKEN))).isTrue();
        assertThat(stream.tokens()).isEqualTo(8);
    }

    @Test
    void onlyTheEndMarkerCompletesTheStream() {
        TokenStream stream = new TokenStream(new ObjectMapper(), 0);
        stream.accept(bytes("data: not json\n\n"));
        assertThat(stream.done()).isFalse();
        stream.accept(bytes(DONE));
        assertThat(stream.done()).isTrue();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
