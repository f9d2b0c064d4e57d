package org.cornelcrank.cli.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A deployment to start in one process.
 *
 * <p>{@code settings} are applied in their order; for each of {@code keys} an API key with a random secret is created.
 * {@code partitions} is the number of partitions of each region. Immutable, thus thread-safe.
 */
public record FleetPlan(
        String deployment,
        int partitions,
        List<DataCentre> dataCentres,
        List<Engines> engines,
        List<PlainServices> plainServices,
        Map<String, String> settings,
        List<Key> keys) {

    private static final ObjectMapper JSON = new ObjectMapper();

    public FleetPlan {
        Objects.requireNonNull(deployment, "deployment must be given");
        dataCentres = copy(dataCentres);
        engines = copy(engines);
        plainServices = copy(plainServices);
        keys = copy(keys);
        settings = settings == null ? Map.of() : settings;
        if (dataCentres.isEmpty()) {
            throw new IllegalArgumentException("dataCentres must not be empty");
        }
        if (partitions < 1) {
            throw new IllegalArgumentException("partitions must be at least 1 but was " + partitions);
        }
    }

    /** A data centre and the number of its entry hosts. */
    public record DataCentre(String name, String region, int entryHosts) {}

    /** Model engines of one kind in one data centre; times are in microseconds (us) unless named otherwise. */
    public record Engines(
            String service,
            String dataCentre,
            int count,
            int slots,
            int cachedBlocks,
            double prefillUsPerToken,
            double outputUsPerToken,
            double slowdownPerRunning,
            long loadLagMs) {}

    /** Plain services of one kind in one data centre. */
    public record PlainServices(String service, String dataCentre, int count, int slots, long serviceTimeMs) {}

    /** An API key to create for a team, which is given by its path. */
    public record Key(String team, String keyId, String scope) {}

    /** Returns the distinct regions, in the order of their first data centre. */
    public List<String> regions() {
        return dataCentres.stream().map(DataCentre::region).distinct().toList();
    }

    /** Returns the region of a data centre of this plan. */
    public String regionOf(String dataCentre) {
        return dataCentres.stream()
                .filter(candidate -> candidate.name().equals(dataCentre))
                .map(DataCentre::region)
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no data centre named '" + dataCentre + "'"));
    }

    /** Returns the total number of slots of the engines that serve a model. */
    public int slotsOf(String service) {
        return engines.stream()
                .filter(group -> group.service().equals(service))
                .mapToInt(group -> group.count() * group.slots())
                .sum();
    }

    /**
     * Reads a bundled plan.
     *
     * @throws IllegalArgumentException if there is no plan of that name
     */
    public static FleetPlan named(String deployment) {
        try (InputStream resource = FleetPlan.class.getResourceAsStream("/deployments/" + deployment + ".json")) {
            if (resource == null) {
                throw new IllegalArgumentException("no bundled deployment named '" + deployment + "'");
            }
            return JSON.readValue(resource, FleetPlan.class);
        } catch (IOException e) {
            throw new IllegalStateException("the plan of " + deployment + " must be readable", e);
        }
    }

    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }
}
