package org.cornelcrank.server.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.http.StrictResponses;
import org.cornelcrank.server.client.HttpOutcomes;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Client that appends to and reads from the platform's log over HTTP.
 *
 * <p>Invariant: every append and every read ends in exactly one event. Thread-safe.
 */
public final class HttpLogClient implements EffectRunner {

    private static final long APPEND_TIMEOUT_MS = 5_000;
    private static final long READ_TIMEOUT_MARGIN_MS = 5_000;
    private static final int MAX_CONNECTIONS = 256;

    private final HttpClient http;
    private final CoreLoop loop;
    private final ObjectMapper json;
    private final Counter appends;
    private final Counter appendFailures;
    private final Counter reads;
    private final Counter readFailures;

    /**
     * Creates a client.
     *
     * @param baseUrl the URL of the log service
     * @param loop receives the events
     * @param json parses responses
     * @param metrics receives the counters
     */
    public HttpLogClient(String baseUrl, CoreLoop loop, ObjectMapper json, MetricRegistry metrics) {
        ConnectionProvider connections = ConnectionProvider.builder("log")
                .maxConnections(MAX_CONNECTIONS)
                .pendingAcquireMaxCount(-1)
                .build();
        this.http = StrictResponses.of(HttpClient.create(connections)).baseUrl(baseUrl);
        this.loop = loop;
        this.json = json;
        this.appends = metrics.counter("log.appends");
        this.appendFailures = metrics.counter("log.append-failures");
        this.reads = metrics.counter("log.reads");
        this.readFailures = metrics.counter("log.read-failures");
    }

    @Override
    public boolean run(Effect effect) {
        if (effect instanceof Effect.Append append) {
            append(append);
            return true;
        }
        if (effect instanceof Effect.ReadLog read) {
            read(read);
            return true;
        }
        return false;
    }

    private void append(Effect.Append append) {
        appends.inc();
        http.post()
                .uri("/log/streams/" + append.stream() + "/records")
                .send(Mono.fromSupplier(
                        () -> Unpooled.wrappedBuffer(append.payload().asReadOnlyByteBuffer())))
                .responseSingle((response, body) -> body.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> onAppendResponse(append, response, bytes)))
                .timeout(Duration.ofMillis(APPEND_TIMEOUT_MS))
                .onErrorResume(error -> Mono.just(appendFailed(append, !HttpOutcomes.isConnectFailure(error), 0)))
                .subscribe(loop::post);
    }

    private Event onAppendResponse(Effect.Append append, HttpClientResponse response, byte[] body) {
        int status = response.status().code();
        if (status != HttpResponseStatus.CREATED.code()) {
            boolean refused = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR
                    || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
            return appendFailed(append, !refused, HttpOutcomes.retryAfterMs(response));
        }
        try {
            long offset = json.readTree(body).required("offset").longValue();
            return new Event.Appended(append.stream(), append.appendNumber(), offset);
        } catch (IOException | IllegalArgumentException e) {
            return appendFailed(append, true, 0);
        }
    }

    private Event appendFailed(Effect.Append append, boolean mayHaveTakenEffect, long retryAfterMs) {
        appendFailures.inc();
        return new Event.AppendFailed(append.stream(), append.appendNumber(), mayHaveTakenEffect, retryAfterMs);
    }

    private void read(Effect.ReadLog read) {
        reads.inc();
        String uri = "/log/streams/%s/records?from=%d&max-bytes=%d&wait-ms=%d"
                .formatted(read.stream(), read.fromOffset(), read.maxBytes(), read.waitMs());
        http.get()
                .uri(uri)
                .responseSingle((response, body) -> body.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> onReadResponse(read, response, bytes)))
                .timeout(Duration.ofMillis(read.waitMs() + READ_TIMEOUT_MARGIN_MS))
                .onErrorResume(error -> Mono.just(readFailed(read)))
                .subscribe(loop::post);
    }

    private Event onReadResponse(Effect.ReadLog read, HttpClientResponse response, byte[] body) {
        if (response.status().code() != HttpResponseStatus.OK.code()) {
            return readFailed(read);
        }
        try {
            JsonNode page = json.readTree(body);
            List<LogRecord> records = new ArrayList<>();
            for (JsonNode row : page.required("records")) {
                records.add(new LogRecord(
                        row.required("offset").longValue(),
                        row.required("appendedAtMs").longValue(),
                        ByteString.copyFrom(row.required("payload").binaryValue())));
            }
            return new Event.LogRead(
                    read.stream(),
                    read.purpose(),
                    read.fromOffset(),
                    records,
                    page.required("nextOffset").longValue(),
                    page.required("oldestOffset").longValue());
        } catch (IOException | IllegalArgumentException e) {
            return readFailed(read);
        }
    }

    private Event readFailed(Effect.ReadLog read) {
        readFailures.inc();
        return new Event.LogReadFailed(read.stream(), read.purpose(), read.fromOffset());
    }
}
