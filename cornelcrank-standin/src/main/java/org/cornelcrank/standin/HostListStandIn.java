package org.cornelcrank.standin;

import java.io.IOException;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.type.TypeReference;
import reactor.core.publisher.Mono;

/**
 * Stand-in for the platform's list of live and leaving hosts, in which changes become visible with a delay.
 *
 * <p>{@code PUT /hosts} with a JSON array replaces the list, for tests and demonstrations. Thread-safe.
 */
public final class HostListStandIn extends AbstractStandIn {

    private final HostListSettings settings;
    private final Clock clock;
    private final ArrayDeque<Version> versions = new ArrayDeque<>();

    public HostListStandIn(HostListSettings settings) {
        this(settings, Clock.systemUTC());
    }

    HostListStandIn(HostListSettings settings, Clock clock) {
        super(settings.host(), settings.port());
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        versions.add(new Version(0, settings.hosts()));
    }

    /** Replaces the list; readers see the change after the lag. */
    public synchronized void setHosts(List<ListedHost> hosts) {
        versions.addLast(new Version(clock.millis() + settings.lagMs(), List.copyOf(hosts)));
    }

    /** Returns the list that is currently visible to readers. */
    public synchronized List<ListedHost> visibleHosts() {
        long nowMs = clock.millis();
        Version visible = versions.removeFirst();
        while (!versions.isEmpty() && versions.peekFirst().visibleAtMs() <= nowMs) {
            visible = versions.removeFirst();
        }
        versions.addFirst(visible);
        return visible.hosts();
    }

    @Override
    Mono<StandInResponse> respond(StandInRequest request) {
        if (request.matches("GET", "/hosts")) {
            return Mono.just(list(request));
        }
        if (request.matches("PUT", "/hosts")) {
            return Mono.just(replace(request));
        }
        return Mono.just(StandInResponse.error(404, "no such path: " + request.path()));
    }

    private StandInResponse list(StandInRequest request) {
        List<ListedHost> hosts = visibleHosts();
        String entityTag = '"' + Integer.toHexString(hosts.hashCode()) + '"';
        Map<String, String> headers = Map.of("ETag", entityTag);
        if (entityTag.equals(request.headers().get("If-None-Match"))) {
            return new StandInResponse.Complete(304, headers, new byte[0]);
        }
        return StandInResponse.json(200, headers, Map.of("hosts", hosts));
    }

    private StandInResponse replace(StandInRequest request) {
        try {
            setHosts(StandInResponse.JSON.readValue(request.body(), new TypeReference<List<ListedHost>>() {}));
            return StandInResponse.json(200, Map.of());
        } catch (IOException e) {
            return StandInResponse.error(400, "hosts must be a JSON array: " + e.getMessage());
        }
    }

    private record Version(long visibleAtMs, List<ListedHost> hosts) {}
}
