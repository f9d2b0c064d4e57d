package org.cornelcrank.server.gateway;

import java.nio.charset.StandardCharsets;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/** Reads bodies, events and heads that hold parts of a second response, and ones that only look so. */
class SplicedResponsesTests {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
                "halfHTTP/1.1 503 Full\r\nX-Id: 1\r\n",
                "id: 2\ndata: pieHTTP/1.0 500\r\nContent-Length: 2\r\n\r\n"
            })
    void bytesInWhichAHeadBeginsAreRejected(String text) {
        assertThatIllegalStateException().isThrownBy(() -> requireNone(text));
    }

    /** Guards against sound responses about HTTP that would fail whenever they are requested. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "the status line HTTP/1.1 200 OK",
                "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n",
                "HTTP/1.1 200 OK\nContent-Length: 2\n\n",
                "{\"text\":\"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\"}",
                "id: 1\r\ndata: HTTP/1.1 200 OK\r\ndata: Content-Length: 2\r\n"
            })
    void bytesThatOnlyMentionAHeadAreAccepted(String text) {
        assertThatCode(() -> requireNone(text)).doesNotThrowAnyException();
    }

    @ParameterizedTest
    @ValueSource(strings = {"FuHTTP/1.1 200 OK", "OHTTP/1.1 500 Error", "HTTP/1.1 200 OK", "OK HTTP/1.0 503"})
    void headThatHoldsTheStatusLineOfAnotherOneIsDetected(String text) {
        assertThat(SplicedResponses.inHead(text, new DefaultHttpHeaders())).isTrue();
        assertThat(SplicedResponses.inHead("OK", new DefaultHttpHeaders().set("Content-Type", text)))
                .isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"1.1 proxy", "HTTP/1.1 proxy", "HTTP/2.0"})
    void headThatOnlyNamesAProtocolVersionIsAccepted(String text) {
        assertThat(SplicedResponses.inHead("OK", new DefaultHttpHeaders().set("Via", text)))
                .isFalse();
    }

    /** Guards against a search whose time grows with the square of a line's length. */
    @Test
    void longLineOfStatusLinesIsSearchedOnce() {
        requireNone("HTTP/1.1 200 ".repeat(300_000));
    }

    private static void requireNone(String text) {
        SplicedResponses.requireNone(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
