package org.cornelcrank.core;

import java.util.Collection;
import java.util.Objects;

/**
 * Names a model that a target has loaded, as in {@code saarthi-lm} or {@code saarthi-lm@v2}.
 *
 * <p>Invariant: {@code version} is empty where the name carries none. Immutable, thus thread-safe.
 */
public record LoadedModel(ServiceName service, String version) {

    private static final String SEPARATOR = "@";

    public LoadedModel {
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(version, "version must not be null");
    }

    /** Returns whether one of the loaded names is the service in any version. */
    public static boolean isAmong(Collection<String> loadedNames, ServiceName service) {
        return loadedNames.stream().anyMatch(name -> isOf(name, service));
    }

    /** Returns whether the loaded name is the service in any version. */
    public static boolean isOf(String loadedName, ServiceName service) {
        return loadedName.equals(service.value()) || loadedName.startsWith(service.value() + SEPARATOR);
    }

    /** Returns the name under which a target reports it, and by which it is ordered. */
    @Override
    public String toString() {
        return version.isEmpty() ? service.value() : service.value() + SEPARATOR + version;
    }
}
