package org.cornelcrank.server.gateway;

import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.netty.NettyPipeline;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays bytes of a target on one connection, without a network. */
class TargetExchangesTests {

    private static final String WITH_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    private static final String IN_CHUNKS =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na\n\nb\r\n2\r\n\r\n\r\n0\r\n\r\n";
    private static final String WITH_TRAILER =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-After: 1\r\n\r\n";
    private static final String WITHOUT_BODY = "HTTP/1.1 204 No Content\r\n\r\n";
    private static final String AFTER_INTERIM = "HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final MetricRegistry metrics = new MetricRegistry();
    private final TargetExchanges exchanges;

    TargetExchangesTests() {
        channel.pipeline().addLast(NettyPipeline.HttpCodec, new HttpClientCodec());
        exchanges = TargetExchanges.follow(channel, metrics);
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    /** Guards against a copy of a refused request's response that is taken for the response to its next run. */
    @Test
    void connectionCarriesNoRequestIdTwice() {
        assertThat(exchanges.begin("a")).isTrue();
        assertThat(exchanges.begin("b")).isTrue();
        assertThat(exchanges.begin("a")).isFalse();
        assertThat(exchanges.number()).isEqualTo(2);
    }

    @Test
    void connectionIsExhaustedAfterItsLastExchange() {
        IntStream.range(0, TargetExchanges.MAX_EXCHANGES)
                .forEach(i -> assertThat(exchanges.begin("r" + i)).isTrue());
        assertThat(exchanges.exhausted()).isTrue();
        assertThat(exchanges.begin("next")).isFalse();
    }

    static Stream<String> responses() {
        return Stream.of(WITH_LENGTH, IN_CHUNKS, WITH_TRAILER, WITHOUT_BODY, AFTER_INTERIM);
    }

    /** Guards against a sound connection that is closed, wherever its bytes are split. */
    @ParameterizedTest
    @MethodSource("responses")
    void completeResponsesLeaveTheConnectionOpen(String response) {
        for (int split = 0; split <= response.length(); split++) {
            request();
            receive(response.substring(0, split));
            receive(response.substring(split));
            assertThat(endsOfResponses()).isEqualTo(1);
            assertThat(channel.isOpen()).isTrue();
        }
    }

    /** Guards against a part of a copy that the next response on the connection would complete. */
    @ParameterizedTest
    @MethodSource("responses")
    void firstByteBehindACompleteResponseClosesTheConnection(String response) {
        request();
        receive(response + "H");
        assertThat(endsOfResponses()).isEqualTo(1);
        assertThat(channel.isOpen()).isFalse();
        assertThat(metrics.counter("responses.rejected.no-request").getCount()).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"H", "\r\n", WITH_LENGTH})
    void bytesOnAnIdleConnectionCloseItAndAreNotDecoded(String bytes) {
        request();
        receive(WITH_LENGTH);
        assertThat(endsOfResponses()).isEqualTo(1);
        receive(bytes);
        assertThat(endsOfResponses()).isZero();
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void bodyThatEndsWithItsConnectionIsPassedOn() {
        request();
        receive("HTTP/1.1 200 OK\r\n\r\nfirst\r\n\r\n");
        receive("second");
        assertThat(exchanges.framing()).isEqualTo(TargetExchanges.Framing.CLOSE);
        assertThat(channel.isOpen()).isTrue();
    }

    private void request() {
        channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
        channel.releaseOutbound();
    }

    private void receive(String text) {
        if (!text.isEmpty()) {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }
    }

    private int endsOfResponses() {
        int ends = 0;
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            ends += message instanceof LastHttpContent ? 1 : 0;
            ReferenceCountUtil.release(message);
        }
        return ends;
    }
}
