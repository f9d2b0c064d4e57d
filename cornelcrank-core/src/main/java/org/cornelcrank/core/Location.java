package org.cornelcrank.core;

import java.util.Objects;

/**
 * States where a host or a target stands.
 *
 * <p>Immutable, thus thread-safe.
 */
public record Location(RegionId region, DataCentreId dataCentre) {

    public Location {
        Objects.requireNonNull(region, "region must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
    }

    /** Returns how far the other location is. */
    public Distance distanceTo(Location other) {
        if (dataCentre.equals(other.dataCentre)) {
            return Distance.SAME_DATA_CENTRE;
        }
        return region.equals(other.region) ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }

    /** Ranks distances from near to far. */
    public enum Distance {
        SAME_DATA_CENTRE,
        SAME_REGION,
        OTHER_REGION
    }
}
