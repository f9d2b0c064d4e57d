package org.cornelcrank.server.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.http.StrictResponses;
import org.cornelcrank.server.loop.CoreLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Polls the platform's host list.
 *
 * <p>Polls with conditional requests, since the list is long and rarely changes; an unchanged list is posted again
 * nevertheless. Invalid rows are skipped and counted. Thread-safe.
 */
public final class HostListPoller {

    private static final Logger LOGGER = LoggerFactory.getLogger(HostListPoller.class);
    private static final long TIMEOUT_MS = 3_000;

    private final HttpClient http;
    private final Duration interval;
    private final CoreLoop loop;
    private final ObjectMapper json;
    private final Counter failures;
    private final Counter badRows;
    private volatile HostList latest = new HostList("", List.of());

    /**
     * Creates a poller without starting it.
     *
     * @param baseUrl the URL of the host list service
     * @param interval the time between two polls
     * @param loop receives the events
     * @param json parses responses
     * @param metrics receives the counters
     */
    public HostListPoller(String baseUrl, Duration interval, CoreLoop loop, ObjectMapper json, MetricRegistry metrics) {
        this.http = StrictResponses.of(HttpClient.create()).baseUrl(baseUrl);
        this.interval = interval;
        this.loop = loop;
        this.json = json;
        this.failures = metrics.counter("hosts.read-failures");
        this.badRows = metrics.counter("hosts.bad-rows");
    }

    /**
     * Starts to poll.
     *
     * @return a handle that stops polling when it is disposed of
     */
    public Disposable start() {
        return Mono.defer(this::readOnce)
                .repeatWhen(completions -> completions.delayElements(interval))
                .subscribe();
    }

    private Mono<Void> readOnce() {
        return http.headers(this::addIfNoneMatch)
                .get()
                .uri("/hosts")
                .responseSingle(this::onResponse)
                .timeout(Duration.ofMillis(TIMEOUT_MS))
                .doOnNext(list -> latest = list)
                .doOnNext(list -> loop.post(new Event.HostListRead(list.hosts())))
                .doOnError(error -> failures.inc())
                .onErrorResume(error -> Mono.empty())
                .then();
    }

    private void addIfNoneMatch(HttpHeaders headers) {
        if (!latest.entityTag().isEmpty()) {
            headers.set(HttpHeaderNames.IF_NONE_MATCH, latest.entityTag());
        }
    }

    private Mono<HostList> onResponse(HttpClientResponse response, ByteBufMono body) {
        int status = response.status().code();
        if (status == HttpResponseStatus.NOT_MODIFIED.code()) {
            return Mono.just(latest);
        }
        if (status != HttpResponseStatus.OK.code()) {
            return Mono.error(new IOException("host list service responded with status " + response.status()));
        }
        String entityTag = response.responseHeaders().get(HttpHeaderNames.ETAG, "");
        return body.asByteArray().map(bytes -> new HostList(entityTag, parse(bytes)));
    }

    private List<HostEntry> parse(byte[] body) {
        try {
            List<HostEntry> hosts = new ArrayList<>();
            for (JsonNode row : json.readTree(body).required("hosts")) {
                addRow(row, hosts);
            }
            return hosts;
        } catch (IOException e) {
            throw new UncheckedIOException("host list must be JSON", e);
        }
    }

    private void addRow(JsonNode row, List<HostEntry> hosts) {
        try {
            Set<ServiceName> services = new TreeSet<>();
            row.path("services").forEach(name -> services.add(new ServiceName(name.asText())));
            hosts.add(new HostEntry(
                    row.required("name").asText(),
                    HostRole.valueOf(row.required("role").asText().toUpperCase(Locale.ROOT)),
                    new Location(
                            new RegionId(row.required("region").asText()),
                            new DataCentreId(row.required("dataCentre").asText())),
                    row.required("address").asText(),
                    services,
                    row.path("leaving").asBoolean()));
        } catch (IllegalArgumentException e) {
            badRows.inc();
            LOGGER.debug("Skipped invalid host list row: {}", e.getMessage());
        }
    }

    /** A host list with its entity tag; the tag is empty if there is none. */
    private record HostList(String entityTag, List<HostEntry> hosts) {}
}
