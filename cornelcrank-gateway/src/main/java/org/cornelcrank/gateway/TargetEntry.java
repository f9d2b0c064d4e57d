package org.cornelcrank.gateway;

import java.util.Objects;

import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;

/**
 * The entry under which a target registers itself in the store.
 *
 * <p>{@code incarnation} differs between two starts of a target under the same name; zero if the entry does not state
 * it. Immutable, thus thread-safe.
 */
public record TargetEntry(
        TargetId target,
        ServiceName service,
        String address,
        DataCentreId dataCentre,
        int slots,
        boolean leaving,
        long incarnation,
        SoftwareVersion softwareVersion) {

    public TargetEntry {
        Objects.requireNonNull(target, "target must not be null");
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(address, "address must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(softwareVersion, "softwareVersion must not be null");
        if (slots < 0) {
            throw new IllegalArgumentException("slots must not be negative but was " + slots);
        }
    }
}
