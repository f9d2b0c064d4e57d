package org.cornelcrank.server.gateway;

import java.util.Optional;

import org.cornelcrank.gateway.GatewayRoute;
import org.cornelcrank.gateway.http.RequestHead;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Jobs are not served yet: every call is refused as not run. */
final class JobFront {

    Optional<Read> matches(HttpServerRequest request) {
        return Optional.empty();
    }

    Publisher<Void> read(Read read, HttpServerRequest request, HttpServerResponse response) {
        return response.status(503).send();
    }

    Mono<Void> submit(GatewayRoute route, RequestHead head, byte[] body, HttpServerResponse response) {
        return response.status(503).send();
    }

    record Read() {}
}
