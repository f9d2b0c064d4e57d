package org.cornelcrank.core;

import java.util.Collection;
import java.util.Objects;

/**
 * The name of a model that a target has loaded, such as {@code saarthi-lm} or {@code saarthi-lm@v2}.
 *
 * <p>Invariant: {@code version} is empty if the name contains none. Immutable, thus thread-safe.
 */
public record LoadedModel(ServiceName service, String version) {

    private static final String SEPARATOR = "@";

    public LoadedModel {
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(version, "version must not be null");
    }

    /** Returns whether any of the loaded models is a version of the service. */
    public static boolean isAmong(Collection<String> loadedNames, ServiceName service) {
        return loadedNames.stream().anyMatch(name -> isOf(name, service));
    }

    /** Returns whether the loaded model is a version of the service. */
    public static boolean isOf(String loadedName, ServiceName service) {
        return loadedName.equals(service.value()) || loadedName.startsWith(service.value() + SEPARATOR);
    }

    /** Returns the name used in target reports and target orders. */
    @Override
    public String toString() {
        return version.isEmpty() ? service.value() : service.value() + SEPARATOR + version;
    }
}
