package org.cornelcrank.core;

import java.util.Objects;

/**
 * The region and data centre of a host or a target.
 *
 * <p>Immutable, thus thread-safe.
 */
public record Location(RegionId region, DataCentreId dataCentre) {

    public Location {
        Objects.requireNonNull(region, "region must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
    }

    public Distance distanceTo(Location other) {
        if (dataCentre.equals(other.dataCentre)) {
            return Distance.SAME_DATA_CENTRE;
        }
        return region.equals(other.region) ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }

    /** Distances, ordered from near to far. */
    public enum Distance {
        SAME_DATA_CENTRE,
        SAME_REGION,
        OTHER_REGION
    }
}
