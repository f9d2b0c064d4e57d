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
 * Routes for the load balancer's probes and for metric scrapes, which need no API key.
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
     * @param readiness returns whether the load balancer should send requests
     * @param metrics the metrics to expose
     */
    public Probes(Supplier<Mono<Readiness>> readiness, MetricRegistry metrics) {
        this.readiness = readiness;
        DropwizardExports.builder().dropwizardRegistry(metrics).register(registry);
    }

    /**
     * Adds the routes for probes and scrapes.
     *
     * @param routes the server's routes
     */
    public void addTo(HttpServerRoutes routes) {
        routes.get("/healthz/live", (request, response) -> text(response, HttpResponseStatus.OK, "live"));
        routes.get("/healthz/ready", (request, response) -> readiness
                .get()
                .publishOn(ConnectionThread.of(response))
                .flatMap(state -> ready(response, state)));
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

    /** Whether the daemon accepts requests, and the reason if it does not. */
    public record Readiness(boolean ready, String reason) {}
}
