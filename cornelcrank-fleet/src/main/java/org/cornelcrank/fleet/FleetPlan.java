package org.cornelcrank.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcrank.config.ServiceKind;
import org.cornelcrank.config.ServicePolicy;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.LoadedModel;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;

/**
 * Assigns the managed services of a region to its targets.
 *
 * <p>A service is managed while the settings specify replicas of it. Targets that already have it loaded come first, so
 * that no more than needed is loaded; then those with the fewest services, and then by hash, so that two claim holders
 * make the same choice. If the only serving target must change its version, one more target loads the new version
 * first. Models of services that are not managed stay loaded. Immutable, thus thread-safe.
 */
final class FleetPlan {

    private final Map<TargetId, TargetReport> reports;
    private final Map<ServiceName, ServicePolicy> managed;
    private final Map<TargetId, DesiredState> desired;

    private FleetPlan(
            Map<TargetId, TargetReport> reports,
            Map<ServiceName, ServicePolicy> managed,
            Map<TargetId, DesiredState> desired) {
        this.reports = reports;
        this.managed = managed;
        this.desired = desired;
    }

    /** Creates the plan for the targets that report and are neither leaving nor drained. */
    static FleetPlan of(List<TargetTable.ListedTarget> targets, Settings settings, long staleMs, long nowMs) {
        Map<TargetId, TargetReport> reports = new TreeMap<>();
        List<TargetTable.ListedTarget> usable = new ArrayList<>();
        for (TargetTable.ListedTarget target : targets) {
            Optional<TargetReport> report = target.report(staleMs, nowMs);
            report.ifPresent(present -> reports.put(target.id(), present));
            if (report.isPresent()
                    && !target.isLeaving()
                    && !settings.target(target.id()).draining()) {
                usable.add(target);
            }
        }
        Map<ServiceName, ServicePolicy> managed = managed(settings);
        Map<TargetId, Set<String>> assigned = new TreeMap<>();
        for (ServicePolicy service : managed.values()) {
            assign(service, usable, reports, assigned);
        }
        Map<TargetId, DesiredState> desired = new TreeMap<>();
        for (TargetTable.ListedTarget target : usable) {
            if (managed.keySet().stream().anyMatch(target::offers)) {
                Set<String> loaded =
                        new TreeSet<>(unmanagedLoaded(target, reports.get(target.id()), settings, managed));
                loaded.addAll(assigned.getOrDefault(target.id(), Set.of()));
                desired.put(
                        target.id(),
                        new DesiredState(settings.target(target.id()).role(), loaded));
            }
        }
        return new FleetPlan(reports, managed, desired);
    }

    Map<TargetId, DesiredState> desired() {
        return desired;
    }

    Map<ServiceName, ServicePolicy> managed() {
        return managed;
    }

    Optional<TargetReport> report(TargetId target) {
        return Optional.ofNullable(reports.get(target));
    }

    /** Returns the managed services whose currently loaded version the order would unload from the target. */
    List<ServiceName> disrupted(TargetId target, DesiredState order) {
        return managed.keySet().stream()
                .filter(service -> loadedNameOf(target, service)
                        .filter(name -> !order.loaded().contains(name))
                        .isPresent())
                .toList();
    }

    /** Returns the managed services whose desired version the target does not have and the order loads. */
    List<ServiceName> introduced(TargetId target, DesiredState order) {
        return managed.values().stream()
                .filter(policy ->
                        hasDesiredVersion(order.loaded(), policy) && !hasDesiredVersion(loaded(target), policy))
                .map(ServicePolicy::service)
                .toList();
    }

    /** Returns the targets that serve the service in any version. */
    List<TargetId> serving(ServiceName service) {
        return reports.keySet().stream()
                .filter(target -> LoadedModel.isAmong(loaded(target), service))
                .toList();
    }

    /** Returns the targets that serve the service in the desired version. */
    List<TargetId> servingDesiredVersion(ServiceName service) {
        return reports.keySet().stream()
                .filter(target -> hasDesiredVersion(loaded(target), managed.get(service)))
                .toList();
    }

    private static boolean hasDesiredVersion(Set<String> loaded, ServicePolicy policy) {
        return policy.version().isEmpty()
                ? LoadedModel.isAmong(loaded, policy.service())
                : loaded.contains(desiredName(policy));
    }

    private static String desiredName(ServicePolicy policy) {
        return new LoadedModel(policy.service(), policy.version()).toString();
    }

    /**
     * Returns the model name to order; for a service without a configured version, any version that is already loaded
     * is kept.
     */
    private static String nameToLoad(ServicePolicy policy, Set<String> loaded) {
        return loaded.stream()
                .filter(name -> policy.version().isEmpty() && LoadedModel.isOf(name, policy.service()))
                .sorted()
                .findFirst()
                .orElse(desiredName(policy));
    }

    private Optional<String> loadedNameOf(TargetId target, ServiceName service) {
        return loaded(target).stream()
                .filter(name -> LoadedModel.isOf(name, service))
                .findFirst();
    }

    private Set<String> loaded(TargetId target) {
        TargetReport report = reports.get(target);
        return report == null ? Set.of() : new TreeSet<>(report.loaded());
    }

    private static Map<ServiceName, ServicePolicy> managed(Settings settings) {
        Map<ServiceName, ServicePolicy> managed = new TreeMap<>();
        for (ServiceName name : settings.services()) {
            settings.service(name)
                    .filter(policy -> policy.kind() == ServiceKind.MODEL && policy.replicas() > 0)
                    .ifPresent(policy -> managed.put(name, policy));
        }
        return managed;
    }

    private static void assign(
            ServicePolicy service,
            List<TargetTable.ListedTarget> usable,
            Map<TargetId, TargetReport> reports,
            Map<TargetId, Set<String>> assigned) {
        List<TargetTable.ListedTarget> candidates = new ArrayList<>(usable.stream()
                .filter(target -> target.offers(service.service()))
                .toList());
        candidates.sort(Comparator.comparing((TargetTable.ListedTarget target) ->
                        !hasDesiredVersion(reports.get(target.id()).loaded(), service))
                .thenComparing(
                        target -> !LoadedModel.isAmong(reports.get(target.id()).loaded(), service.service()))
                .thenComparing(
                        target -> assigned.getOrDefault(target.id(), Set.of()).size())
                .thenComparing(target ->
                        StableHash.of(service.service().value(), target.id().value())));
        int replicas = Math.min(candidates.size(), service.replicas() + surge(service, candidates, reports));
        for (TargetTable.ListedTarget target : candidates.subList(0, replicas)) {
            Set<String> names = assigned.computeIfAbsent(target.id(), ignored -> new TreeSet<>());
            names.add(nameToLoad(service, reports.get(target.id()).loaded()));
            names.addAll(service.adapters());
        }
    }

    private static int surge(
            ServicePolicy service, List<TargetTable.ListedTarget> candidates, Map<TargetId, TargetReport> reports) {
        List<TargetTable.ListedTarget> serving = candidates.stream()
                .filter(target -> LoadedModel.isAmong(reports.get(target.id()).loaded(), service.service()))
                .toList();
        boolean onlyOneServesAnotherVersion = serving.size() == 1
                && !hasDesiredVersion(reports.get(serving.get(0).id()).loaded(), service);
        return onlyOneServesAnotherVersion && service.replicas() == 1 ? 1 : 0;
    }

    private static Set<String> unmanagedLoaded(
            TargetTable.ListedTarget target,
            TargetReport report,
            Settings settings,
            Map<ServiceName, ServicePolicy> managed) {
        Set<ServiceName> others = new TreeSet<>(target.entry().services());
        others.addAll(settings.services());
        others.removeAll(managed.keySet());
        Set<String> kept = new TreeSet<>();
        for (ServiceName service : others) {
            report.loaded().stream()
                    .filter(name -> LoadedModel.isOf(name, service))
                    .forEach(kept::add);
            settings.service(service).ifPresent(policy -> report.loaded().stream()
                    .filter(policy.adapters()::contains)
                    .forEach(kept::add));
        }
        return kept;
    }
}
