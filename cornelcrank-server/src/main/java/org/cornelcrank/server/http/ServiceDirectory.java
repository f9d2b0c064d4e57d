package org.cornelcrank.server.http;

import org.cornelcrank.config.ServiceKind;
import org.cornelcrank.config.ServicePolicy;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.server.loop.CoreLoop;
import reactor.core.publisher.Mono;

/**
 * Knows which services there are and who may use them.
 *
 * <p>Thread-safe.
 */
final class ServiceDirectory {

    private final Settings settings;
    private final CoreLoop loop;

    ServiceDirectory(Settings settings, CoreLoop loop) {
        this.settings = settings;
        this.loop = loop;
    }

    /** Returns a service by name, or fails with a refusal if the team may not use it. */
    ServiceName requireAllowed(Admission admission, String name) {
        if (Names.isName(name)) {
            ServiceName service = new ServiceName(name);
            if (admission.requirePolicy().services().contains(service)) {
                return service;
            }
        }
        throw unknown(name);
    }

    /** Returns what holds for a service, or fails with a refusal if it is not of the kind that is asked for. */
    Mono<ServicePolicy> require(ServiceName service, ServiceKind kind) {
        return loop.ask(() -> settings.service(service)).map(found -> found.filter(policy -> policy.kind() == kind)
                .orElseThrow(() -> unknown(service.value())));
    }

    private static RefusedException unknown(String name) {
        return RefusedException.notRun(
                RefusalCode.NOT_FOUND, "model or service '" + name + "' does not exist or is not open to this team");
    }
}
