package org.cornelcrank.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import reactor.netty.NettyPipeline;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays bytes of a response on one connection, without a network, and reads what the decoder behind them yields. */
class ResponseValidatorTests {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s1\r\n";
    private static final String WITH_LENGTH = HEAD + "Content-Length: 4\r\n\r\nbody";
    private static final String IN_CHUNKS =
            HEAD + "Transfer-Encoding: chunked\r\n\r\n2;x\r\nbo\r\n02\r\ndy\r\n0\r\nX: 1\r\n\r\n";
    private static final String UNTIL_CLOSE = HEAD + "Connection: close\r\n\r\nbody";

    /** The lines of a head as RFC 9112 defines them. */
    private static final Pattern VALID_HEAD = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d(?: [\\t -~\\x80-\\xff]*)?\r\n"
            + "(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t -~\\x80-\\xff]*\r\n)*\r\n");

    /** Blanks behind a size without an extension are tolerated. */
    private static final Pattern CHUNK_SIZE = Pattern.compile("([0-9A-Fa-f]+)[ \t]*(?:;[\t -~\\x80-\\xff]*)?\r\n");

    private static final Pattern TRAILERS =
            Pattern.compile("(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\\x80-\\xff]*\r\n)*\r\n");

    /** A response as a caller sees it. */
    private record Received(int status, List<Map.Entry<String, String>> fields, String body) {}

    static Stream<String> responses() {
        return Stream.of(WITH_LENGTH, IN_CHUNKS, UNTIL_CLOSE);
    }

    @ParameterizedTest
    @MethodSource("responses")
    void validResponseIsTheSameWhereverItsBytesAreSplit(String response) {
        Optional<Received> whole = receive(response);
        assertThat(whole).isPresent();
        for (int split = 0; split <= response.length(); split++) {
            assertThat(receive(response.substring(0, split), response.substring(split)))
                    .as("split at %d", split)
                    .isEqualTo(whole);
        }
    }

    /** Guards against a decoder that makes another response of a corrupt one. */
    @ParameterizedTest
    @MethodSource("responses")
    void responseWithOneOtherByteIsAsTheTargetWroteItOrFails(String response) {
        for (int at = 0; at < headEnd(response); at++) {
            for (char other = 0; other <= 0xff; other++) {
                assertIsAsWrittenOrFails(response.substring(0, at) + other + response.substring(at + 1));
                assertIsAsWrittenOrFails(response.substring(0, at) + other + response.substring(at));
            }
            assertIsAsWrittenOrFails(response.substring(0, at) + response.substring(at + 1));
        }
    }

    /** Guards against chunks whose sizes or ends the decoder guesses. */
    @Test
    void chunksWithOneOtherByteAreAsTheTargetWroteThemOrFail() {
        for (int at = headEnd(IN_CHUNKS); at < IN_CHUNKS.length(); at++) {
            for (char other = 0; other <= 0xff; other++) {
                assertIsUnchunkedOrFails(IN_CHUNKS.substring(0, at) + other + IN_CHUNKS.substring(at + 1));
                assertIsUnchunkedOrFails(IN_CHUNKS.substring(0, at) + other + IN_CHUNKS.substring(at));
            }
            assertIsUnchunkedOrFails(IN_CHUNKS.substring(0, at) + IN_CHUNKS.substring(at + 1));
        }
    }

    private static void assertIsUnchunkedOrFails(String response) {
        receive(response).ifPresent(received -> assertThat(Optional.of(received.body()))
                .isEqualTo(unchunked(response.substring(headEnd(response)))));
    }

    /** Returns the content of chunks by the protocol's definition; empty if they are not valid. */
    private static Optional<String> unchunked(String chunks) {
        StringBuilder content = new StringBuilder();
        Matcher size = CHUNK_SIZE.matcher(chunks);
        int at = 0;
        while (size.region(at, chunks.length()).lookingAt()) {
            int bytes = Integer.parseInt(size.group(1), 16);
            int end = size.end() + bytes;
            if (bytes == 0) {
                return TRAILERS.matcher(chunks).region(end, chunks.length()).lookingAt()
                        ? Optional.of(content.toString())
                        : Optional.empty();
            }
            if (!chunks.startsWith("\r\n", end)) {
                return Optional.empty();
            }
            content.append(chunks, size.end(), end);
            at = end + 2;
        }
        return Optional.empty();
    }

    private static int headEnd(String response) {
        return response.indexOf("\r\n\r\n") + "\r\n\r\n".length();
    }

    /** A head that is not valid by the protocol's definition must fail; a valid one yields the fields in its text. */
    private static void assertIsAsWrittenOrFails(String response) {
        Optional<Received> received = receive(response);
        if (received.isEmpty()) {
            return;
        }
        String head = response.substring(0, headEnd(response));
        assertThat(head).matches(VALID_HEAD);
        assertThat(received.get().status()).isEqualTo(Integer.parseInt(head.substring(9, 12)));
        assertThat(received.get().fields())
                .isEqualTo(head.lines()
                        .skip(1)
                        .filter(line -> !line.isEmpty())
                        .map(line -> line.split(":", 2))
                        .map(field -> Map.entry(field[0], trimmed(field[1])))
                        .toList());
    }

    /** Removes spaces and tabs, and no other characters. */
    private static String trimmed(String value) {
        return value.replaceAll("^[ \t]+|[ \t]+$", "");
    }

    @Test
    void lineBeyondTheMaximumLengthFailsBeforeItEnds() {
        EmbeddedChannel channel = channel();
        write(channel, "HTTP/1.1 200 OK\r\nX: " + "x".repeat(ResponseValidator.MAX_LINE_BYTES));
        assertThat(channel.isOpen()).isFalse();
        channel.finishAndReleaseAll();
    }

    @Test
    void nothingBehindAnInvalidLineIsDecoded() {
        EmbeddedChannel channel = channel();
        write(channel, "HTTP/1.1 000 OK\r\n");
        write(channel, WITH_LENGTH);
        assertThat((Object) channel.readInbound()).isNull();
        channel.finishAndReleaseAll();
    }

    /** Returns what was received until the connection ended; empty if the response failed or is incomplete. */
    private static Optional<Received> receive(String... parts) {
        EmbeddedChannel channel = channel();
        boolean failed = Stream.of(parts).anyMatch(part -> !write(channel, part));
        channel.finish();
        HttpResponse head = null;
        StringBuilder body = new StringBuilder();
        boolean complete = false;
        for (Object message = channel.readInbound(); message != null && !complete; message = channel.readInbound()) {
            if (message instanceof HttpResponse response) {
                head = response;
                failed |= response.decoderResult().isFailure();
            }
            if (message instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
                failed |= content.decoderResult().isFailure();
                complete = content instanceof LastHttpContent && head.status().code() >= 200;
            }
            ReferenceCountUtil.release(message);
        }
        channel.releaseInbound();
        return failed || !complete
                ? Optional.empty()
                : Optional.of(new Received(head.status().code(), fields(head), body.toString()));
    }

    private static List<Map.Entry<String, String>> fields(HttpResponse head) {
        return head.headers().entries().stream()
                .map(field -> Map.entry(field.getKey(), field.getValue()))
                .toList();
    }

    private static EmbeddedChannel channel() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.pipeline().addLast(NettyPipeline.HttpCodec, new HttpClientCodec());
        StrictResponses.require(channel);
        channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
        channel.releaseOutbound();
        return channel;
    }

    /** Returns false if the bytes made the connection fail. */
    private static boolean write(EmbeddedChannel channel, String text) {
        if (!channel.isOpen()) {
            return false;
        }
        try {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            return true;
        } catch (MalformedResponseException e) {
            return false;
        }
    }
}
