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
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Authenticates callers by their API key.
 *
 * <p>Invariant: the key cache is filled and cleared only on the core's thread, so that no change of the settings is
 * missed. Secrets are compared as salted hashes in constant time; a hash is computed for an unknown key id too, so that
 * it takes the same time. Thread-safe.
 */
public final class RequestAuthenticator {

    private static final int MAX_CACHED_KEYS = 10_000;

    /** The retry delay for callers while no settings are known yet, in ms. */
    private static final long NOT_READY_RETRY_MS = 500;

    private static final String BEARER = "Bearer ";
    private static final String WORKLOAD = "Cornelcrank-Workload";
    private static final ApiKeyEntry UNKNOWN =
            new ApiKeyEntry(new TeamPath("/unknown"), "unknown", "00", "00", Caller.Scope.CALLER, 0);

    private final Map<String, ResolvedKey> cachedKeys = new ConcurrentHashMap<>();
    private final Settings settings;
    private final CoreLoop loop;
    private final MonotonicClock clock;
    private final Optional<BootstrapKey> bootstrapKey;

    /**
     * Creates an authenticator.
     *
     * @param settings holds the keys; read on the core's thread only
     * @param loop gives access to the core's thread
     * @param clock provides the current time
     * @param bootstrapKey an operator key from the process settings, to create the first settings of a deployment
     */
    public RequestAuthenticator(
            Settings settings, CoreLoop loop, MonotonicClock clock, Optional<BootstrapKey> bootstrapKey) {
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.bootstrapKey = bootstrapKey;
        settings.subscribe((nowMs, out) -> cachedKeys.clear());
    }

    /** Returns the authenticated caller, or fails with a refusal if the key is invalid or lacks the required scope. */
    Mono<AuthenticatedCaller> authenticate(HttpServerRequest request, Caller.Scope scope) {
        String[] key = presentedKey(request);
        if (key.length != 2) {
            return Mono.error(unauthenticated());
        }
        if (isBootstrapKey(key)) {
            return Mono.just(operator());
        }
        String workload = request.requestHeaders().get(WORKLOAD, "");
        ResolvedKey cached = cachedKeys.get(cacheKey(key[0], workload));
        Mono<ResolvedKey> resolvedKey = cached == null ? loop.query(() -> lookUp(key[0], workload)) : Mono.just(cached);
        return resolvedKey.map(entry -> check(entry, key[1], scope));
    }

    private ResolvedKey lookUp(String keyId, String workload) {
        ApiKeyEntry entry = entry(settings, keyId);
        TeamPath path = workloadPath(entry.team(), workload);
        ResolvedKey resolvedKey = new ResolvedKey(entry, path, settings.team(path));
        if (!entry.equals(UNKNOWN) && cachedKeys.size() < MAX_CACHED_KEYS) {
            cachedKeys.put(cacheKey(keyId, workload), resolvedKey);
        }
        return resolvedKey;
    }

    /**
     * Returns the key with the id, or {@link #UNKNOWN}.
     *
     * @throws RefusedException if the key may exist, as the settings have not been read yet
     */
    static ApiKeyEntry entry(Settings settings, String keyId) {
        Optional<ApiKeyEntry> entry = settings.apiKey(keyId);
        if (entry.isEmpty() && !settings.ready()) {
            throw new RefusedException(
                    Refusal.notRun(RefusalCode.NOT_READY, "no settings are known yet", NOT_READY_RETRY_MS));
        }
        return entry.orElse(UNKNOWN);
    }

    private static String cacheKey(String keyId, String workload) {
        return keyId + "/" + workload;
    }

    private AuthenticatedCaller check(ResolvedKey resolvedKey, String secret, Caller.Scope scope) {
        ApiKeyEntry entry = resolvedKey.entry();
        boolean matches = ApiKeys.matches(secret, entry.saltHex(), entry.hashHex());
        boolean expired = entry.expiresAtMs() > 0 && entry.expiresAtMs() <= clock.nowMs();
        if (!matches || expired || entry.equals(UNKNOWN)) {
            throw unauthenticated();
        }
        if (scope == Caller.Scope.OPERATOR && entry.scope() != Caller.Scope.OPERATOR) {
            throw RefusedException.notRun(RefusalCode.FORBIDDEN, "an operator key is required");
        }
        return new AuthenticatedCaller(
                new Caller(entry.team(), entry.keyId(), entry.scope()), resolvedKey.workload(), resolvedKey.policy());
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
                RefusalCode.UNAUTHENTICATED, "a valid API key is required: 'Authorization: Bearer <key id>.<secret>'");
    }

    /** Operator key with which the process was started. */
    public record BootstrapKey(String keyId, String secret) {}

    /** The settings of a key id and of the workload that it is used for. */
    private record ResolvedKey(ApiKeyEntry entry, TeamPath workload, Optional<TeamPolicy> policy) {}
}
