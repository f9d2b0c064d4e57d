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
 * Knows which services there are and who may use them.
 *
 * <p>Holds a copy of the services' policies, made anew in the core's thread with each change of the settings, so that a
 * request need not wait for that thread. Thread-safe.
 */
final class ServiceDirectory {

    private final Settings settings;
    private volatile Map<ServiceName, ServicePolicy> policies = Map.of();

    ServiceDirectory(Settings settings) {
        this.settings = settings;
        settings.subscribe((nowMs, out) -> refresh());
    }

    /** Returns a service by name, or fails with a refusal if the team may not use it. */
    ServiceName requireAllowed(AuthenticatedCaller admission, String name) {
        if (Names.isName(name)) {
            ServiceName service = new ServiceName(name);
            if (admission.requirePolicy().services().contains(service)) {
                return service;
            }
        }
        throw unknown(name);
    }

    /** Returns what holds for a service, or fails with a refusal if it is not of the kind that is asked for. */
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
