package org.cornelcrank.gateway;

import java.util.Objects;

import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.NetworkAddress;
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
        NetworkAddress address,
        DataCentreId dataCentre,
        int slots,
        boolean leaving,
        long incarnation,
        SoftwareVersion softwareVersion) {

    /** Maximum number of slots, far above that of any target, so that sums over targets cannot overflow. */
    static final int MAX_SLOTS = 10_000;

    public TargetEntry {
        Objects.requireNonNull(target, "target must not be null");
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(address, "address must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(softwareVersion, "softwareVersion must not be null");
        if (slots < 0 || slots > MAX_SLOTS) {
            throw new IllegalArgumentException("slots must be 0 to " + MAX_SLOTS + " but was " + slots);
        }
        if (incarnation < 0) {
            throw new IllegalArgumentException("incarnation must not be negative but was " + incarnation);
        }
    }
}
