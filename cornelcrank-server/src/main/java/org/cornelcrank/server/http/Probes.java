package org.cornelcrank.server.http;

import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Answers the balancer's probes and the metrics' scrapes, which need no key.
 *
 * <p>Thread-safe.
 */
public final class Probes {

    private static final String TEXT = "text/plain; charset=utf-8";

    private final Supplier<Mono<Readiness>> readiness;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter format = new PrometheusTextFormatWriter(false);

    /**
     * Creates the probes.
     *
     * @param readiness says whether the balancer should send requests
     * @param metrics what is scraped
     */
    public Probes(Supplier<Mono<Readiness>> readiness, MetricRegistry metrics) {
        this.readiness = readiness;
        DropwizardExports.builder().dropwizardRegistry(metrics).register(registry);
    }

    /**
     * Adds the routes of probes and scrapes.
     *
     * @param routes the server's routes
     */
    public void addTo(HttpServerRoutes routes) {
        routes.get("/healthz/live", (request, response) -> text(response, HttpResponseStatus.OK, "live"));
        routes.get("/healthz/ready", (request, response) -> readiness.get().flatMap(state -> ready(response, state)));
        routes.get("/metrics", (request, response) -> metrics(response));
    }

    private static Mono<Void> ready(HttpServerResponse response, Readiness state) {
        HttpResponseStatus status = state.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        return text(response, status, state.reason());
    }

    private static Mono<Void> text(HttpServerResponse response, HttpResponseStatus status, String body) {
        return response.status(status)
                .header(HttpHeaderNames.CONTENT_TYPE, TEXT)
                .sendString(Mono.just(body + "\n"))
                .then();
    }

    private Mono<Void> metrics(HttpServerResponse response) {
        return Mono.fromCallable(() -> {
                    ByteArrayOutputStream body = new ByteArrayOutputStream();
                    format.write(body, registry.scrape());
                    return body.toByteArray();
                })
                .flatMap(body -> response.header(HttpHeaderNames.CONTENT_TYPE, format.getContentType())
                        .sendByteArray(Mono.just(body))
                        .then());
    }

    /** Says whether the daemon takes requests, and why not. */
    public record Readiness(boolean ready, String reason) {}
}
