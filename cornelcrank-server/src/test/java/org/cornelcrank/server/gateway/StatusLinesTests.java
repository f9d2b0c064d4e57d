package org.cornelcrank.server.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class StatusLinesTests {

    private static final HttpHeaders NONE = new DefaultHttpHeaders();

    @ParameterizedTest
    @ValueSource(strings = {"OHTTP/1.1 500 Error", "HTTP/1.1 200 OK", "OK HTTP/1.0 503"})
    void statusLineIsFoundInTheReasonAndInHeaders(String text) {
        assertThat(StatusLines.standIn(text, NONE)).isTrue();
        assertThat(StatusLines.standIn("OK", new DefaultHttpHeaders().set("Content-Type", text)))
                .isTrue();
    }

    @Test
    void protocolVersionInAHeaderIsNoStatusLine() {
        HttpHeaders headers =
                new DefaultHttpHeaders().set("Via", "HTTP/1.1 proxy").set("Upgrade", "HTTP/2.0");
        assertThat(StatusLines.standIn("OK", headers)).isFalse();
    }
}
