package org.cornelcrank.job;

import java.util.Objects;

import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;

/**
 * The service and the version of the software of the target that generated an item's events.
 *
 * <p>Only the same one can continue them: versions of two services may have the same text. Immutable, thus
 * thread-safe.
 */
record Generator(ServiceName service, SoftwareVersion version) {

    Generator {
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(version, "version must not be null");
    }

    @Override
    public String toString() {
        return "service " + service + ", version " + version;
    }
}
