package org.cornelcrank.server.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.cornelcrank.config.ApiKeyEntry;
import org.cornelcrank.config.Settings;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Establishes who calls, from the API key.
 *
 * <p>Invariant: what is remembered of a key is written and dropped in the core's thread alone, so that no change of the
 * settings is missed. Secrets are compared as salted hashes in constant time; an unknown key id costs the same hash. Thread-safe.
 */
public final class RequestAuthenticator {

    private static final int MAX_KNOWN_KEYS = 10_000;
    private static final String BEARER = "Bearer ";
    private static final String WORKLOAD = "Cornelcrank-Workload";
    private static final ApiKeyEntry UNKNOWN =
            new ApiKeyEntry(new TeamPath("/unknown"), "unknown", "00", "00", Caller.Scope.CALLER, 0);

    private final Map<String, Found> knownKeys = new ConcurrentHashMap<>();
    private final Settings settings;
    private final CoreLoop loop;
    private final MonotonicClock clock;
    private final Optional<BootstrapKey> bootstrapKey;

    /**
     * Creates a gatekeeper.
     *
     * @param settings holds the keys; read on the core's thread only
     * @param loop gives access to the core's thread
     * @param clock gives the present time
     * @param bootstrapKey an operator's key from the process settings, for the first settings of a deployment
     */
    public RequestAuthenticator(
            Settings settings, CoreLoop loop, MonotonicClock clock, Optional<BootstrapKey> bootstrapKey) {
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.bootstrapKey = bootstrapKey;
        settings.subscribe((nowMs, out) -> knownKeys.clear());
    }

    /** Returns who calls, or fails with a refusal if the key is not valid or does not allow what is asked. */
    Mono<AuthenticatedCaller> authenticate(HttpServerRequest request, Caller.Scope scope) {
        String[] key = presentedKey(request);
        if (key.length != 2) {
            return Mono.error(unauthenticated());
        }
        if (isBootstrapKey(key)) {
            return Mono.just(operator());
        }
        String workload = request.requestHeaders().get(WORKLOAD, "");
        Found known = knownKeys.get(cacheKey(key[0], workload));
        Mono<Found> found = known == null ? loop.query(() -> lookUp(key[0], workload)) : Mono.just(known);
        return found.map(entry -> check(entry, key[1], scope));
    }

    private Found lookUp(String keyId, String workload) {
        ApiKeyEntry entry = settings.apiKey(keyId).orElse(UNKNOWN);
        TeamPath path = workloadPath(entry.team(), workload);
        Found found = new Found(entry, path, settings.team(path));
        if (!entry.equals(UNKNOWN) && knownKeys.size() < MAX_KNOWN_KEYS) {
            knownKeys.put(cacheKey(keyId, workload), found);
        }
        return found;
    }

    private static String cacheKey(String keyId, String workload) {
        return keyId + "/" + workload;
    }

    private AuthenticatedCaller check(Found found, String secret, Caller.Scope scope) {
        ApiKeyEntry entry = found.entry();
        boolean matches = ApiKeys.matches(secret, entry.saltHex(), entry.hashHex());
        boolean expired = entry.expiresAtMs() > 0 && entry.expiresAtMs() <= clock.nowMs();
        if (!matches || expired || entry.equals(UNKNOWN)) {
            throw unauthenticated();
        }
        if (scope == Caller.Scope.OPERATOR && entry.scope() != Caller.Scope.OPERATOR) {
            throw RefusedException.notRun(RefusalCode.FORBIDDEN, "an operator's key is needed");
        }
        return new AuthenticatedCaller(
                new Caller(entry.team(), entry.keyId(), entry.scope()), found.workload(), found.policy());
    }

    private boolean isBootstrapKey(String[] key) {
        return bootstrapKey.isPresent()
                && bootstrapKey.get().keyId().equals(key[0])
                && MessageDigest.isEqual(
                        bootstrapKey.get().secret().getBytes(StandardCharsets.UTF_8),
                        key[1].getBytes(StandardCharsets.UTF_8));
    }

    private AuthenticatedCaller operator() {
        TeamPath team = new TeamPath("/operators");
        Caller caller = new Caller(team, bootstrapKey.orElseThrow().keyId(), Caller.Scope.OPERATOR);
        return new AuthenticatedCaller(caller, team, Optional.empty());
    }

    private static String[] presentedKey(HttpServerRequest request) {
        String header = request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION, "");
        return header.startsWith(BEARER) ? header.substring(BEARER.length()).split("\\.", 2) : new String[0];
    }

    private static TeamPath workloadPath(TeamPath team, String workload) {
        if (workload.isEmpty()) {
            return team;
        }
        try {
            return new TeamPath(team + "/" + workload);
        } catch (IllegalArgumentException e) {
            throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, WORKLOAD + ": " + e.getMessage());
        }
    }

    private static RefusedException unauthenticated() {
        return RefusedException.notRun(
                RefusalCode.UNAUTHENTICATED, "a valid key is needed: 'Authorization: Bearer <key id>.<secret>'");
    }

    /** An operator's key that the process was started with. */
    public record BootstrapKey(String keyId, String secret) {}

    /** What the settings hold for a key id. */
    private record Found(ApiKeyEntry entry, TeamPath workload, Optional<TeamPolicy> policy) {}
}
