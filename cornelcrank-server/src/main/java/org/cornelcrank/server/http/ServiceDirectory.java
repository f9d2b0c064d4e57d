package org.cornelcrank.server.http;

import java.util.HashMap;
import java.util.Map;

import org.cornelcrank.config.ServiceKind;
import org.cornelcrank.config.ServicePolicy;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.ServiceName;

/**
 * Resolves services by name and checks which teams may use them.
 *
 * <p>Holds a copy of the service policies, refreshed on the core's thread at each change of the settings, so that a
 * request need not wait for that thread. Thread-safe.
 */
final class ServiceDirectory {

    private final Settings settings;
    private volatile Map<ServiceName, ServicePolicy> policies = Map.of();

    ServiceDirectory(Settings settings) {
        this.settings = settings;
        settings.subscribe((nowMs, out) -> refresh());
    }

    /** Returns the service with a name, or fails with a refusal if the team may not use it. */
    ServiceName requireAllowed(AuthenticatedCaller authenticated, String name) {
        if (Names.isName(name)) {
            ServiceName service = new ServiceName(name);
            if (authenticated.requirePolicy().services().contains(service)) {
                return service;
            }
        }
        throw unknown(name);
    }

    /** Returns the policy of a service, or fails with a refusal if there is no such service of the given kind. */
    ServicePolicy require(ServiceName service, ServiceKind kind) {
        ServicePolicy policy = policies.get(service);
        if (policy == null || policy.kind() != kind) {
            throw unknown(service.value());
        }
        return policy;
    }

    private void refresh() {
        Map<ServiceName, ServicePolicy> copy = new HashMap<>();
        for (ServiceName service : settings.services()) {
            settings.service(service).ifPresent(policy -> copy.put(service, policy));
        }
        policies = Map.copyOf(copy);
    }

    private static RefusedException unknown(String name) {
        return RefusedException.notRun(
                RefusalCode.NOT_FOUND, "model or service '" + name + "' does not exist or is not open to this team");
    }
}
