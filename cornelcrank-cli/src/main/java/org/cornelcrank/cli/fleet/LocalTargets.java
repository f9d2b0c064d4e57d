package org.cornelcrank.cli.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cornelcrank.standin.EngineSettings;
import org.cornelcrank.standin.EngineStandIn;
import org.cornelcrank.standin.EngineTimeModel;
import org.cornelcrank.standin.ListedHost;
import org.cornelcrank.standin.PlainServiceSettings;
import org.cornelcrank.standin.PlainServiceStandIn;
import org.cornelcrank.standin.StandIn;

/**
 * The stand-ins for the targets of a plan.
 *
 * <p>Not thread-safe.
 */
final class LocalTargets {

    private static final long RETENTION_MS = 60_000;
    private static final long CACHE_EVENT_LAG_MS = 200;
    private static final double CACHE_EVENT_LOSS_RATE = 0.05;

    private final FleetPlan plan;
    private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    private final Map<String, PlainServiceStandIn> plainServices = new LinkedHashMap<>();
    private final List<Placement> placements = new ArrayList<>();

    LocalTargets(FleetPlan plan) {
        this.plan = plan;
        plan.engines().forEach(this::addEngines);
        plan.plainServices().forEach(this::addPlainServices);
    }

    /** The data centre and the service of a target. */
    private record Placement(String name, String dataCentre, String service) {}

    void start() {
        engines.values().forEach(StandIn::start);
        plainServices.values().forEach(StandIn::start);
    }

    void close() {
        engines.values().forEach(StandIn::close);
        plainServices.values().forEach(StandIn::close);
    }

    List<EngineStandIn> engines() {
        return List.copyOf(engines.values());
    }

    List<PlainServiceStandIn> plainServices() {
        return List.copyOf(plainServices.values());
    }

    StandIn byName(String name) {
        StandIn found = engines.containsKey(name) ? engines.get(name) : plainServices.get(name);
        if (found == null) {
            throw new IllegalArgumentException("no stand-in named '" + name + "'; available are log, hosts, "
                    + engines.keySet() + ", " + plainServices.keySet());
        }
        return found;
    }

    /** Returns the host list entries of the targets, which must have been started. */
    List<ListedHost> hostList() {
        return placements.stream()
                .map(placement -> new ListedHost(
                        placement.name(),
                        "target",
                        plan.regionOf(placement.dataCentre()),
                        placement.dataCentre(),
                        byName(placement.name()).address(),
                        List.of(placement.service()),
                        false))
                .toList();
    }

    private void addEngines(FleetPlan.Engines group) {
        for (int number = 1; number <= group.count(); number++) {
            String name = addPlacement(group.service(), group.dataCentre(), number);
            engines.put(
                    name,
                    new EngineStandIn(EngineSettings.defaults(group.service())
                            .withCapacity(
                                    new EngineSettings.Capacity(group.slots(), group.cachedBlocks(), RETENTION_MS))
                            .withTimeModel(new EngineTimeModel(
                                    group.prefillUsPerToken(), group.outputUsPerToken(), group.slowdownPerRunning()))
                            .withReports(new EngineSettings.Reports(
                                    group.loadLagMs(), CACHE_EVENT_LAG_MS, CACHE_EVENT_LOSS_RATE))
                            .withSeed(engines.size() + 1L)));
        }
    }

    private void addPlainServices(FleetPlan.PlainServices group) {
        for (int number = 1; number <= group.count(); number++) {
            String name = addPlacement(group.service(), group.dataCentre(), number);
            plainServices.put(
                    name,
                    new PlainServiceStandIn(new PlainServiceSettings(
                            "127.0.0.1", 0, group.service(), group.slots(), group.serviceTimeMs(), true, 1_000)));
        }
    }

    private String addPlacement(String service, String dataCentre, int number) {
        String name = service + "-" + dataCentre + "-" + number;
        placements.add(new Placement(name, dataCentre, service));
        return name;
    }
}
