package org.cornelcrank.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.store.KeyedTopicFollower;
import org.cornelcrank.store.StoreCalls;

/**
 * Follows the routes, the targets and the entry hosts in the store, and notifies the other state machines of changes.
 *
 * <p>Registers this daemon's own host at the start. Invariants: the version of the active routes never decreases; the
 * first routes become active only after the targets have been loaded; a target whose entry was dropped while the store
 * was failing is kept until it has had time to register again; a target that has stated in a response that it leaves
 * does so, whatever its entry says, until its next incarnation is listed. While the store is unavailable the last known
 * state stays in effect. Not thread-safe: confined to the daemon's event loop.
 */
public final class DirectoryStateMachine implements StateMachine {

    public static final String NAME = "directory";

    private static final TopicPartition HOSTS = new TopicPartition("hosts", 0);
    private static final TimerKey ROUTES_TIMER = new TimerKey(NAME, "routes");
    private static final TimerKey TARGETS_TIMER = new TimerKey(NAME, "targets");
    private static final TimerKey HOSTS_TIMER = new TimerKey(NAME, "hosts");
    private static final TimerKey REGISTRATION_TIMER = new TimerKey(NAME, "enter");
    private static final TimerKey MISSING_TIMER = new TimerKey(NAME, "missing");

    /** Routes are read at once, and the store holds a read well below the time limit for a change. */
    private static final KeyedTopicFollower.Times ROUTES_TIMES = KeyedTopicFollower.Times.immediate(2_500);

    /** All targets register when a deployment starts, so their entries are read in groups. */
    private static final KeyedTopicFollower.Times TARGETS_TIMES = new KeyedTopicFollower.Times(2_500, 200);

    /** The store may hold a read of hosts for long, as membership detects hosts sooner; all register at a start. */
    private static final KeyedTopicFollower.Times HOSTS_TIMES = new KeyedTopicFollower.Times(15_000, 300);

    /** How long a target may take to register again after a store failure, in ms: the platform promises two seconds. */
    private static final long REREGISTRATION_GRACE_MS = 2_000;

    /** How long the store counts as failing after a failed call, in ms. */
    private static final long STORE_FAILING_MS = 1_000;

    /** The pause before a failed registration of this host is retried, in ms. */
    private static final long REGISTRATION_RETRY_MS = 500;

    /** The time limit for the append of this host's entry, in ms. */
    private static final long REGISTRATION_TIMEOUT_MS = 2_000;

    private final DaemonIdentity identity;
    private final Map<DataCentreId, RegionId> regions;
    private final DirectoryFormat format;
    private final RouteTableSettings settings;
    private final StoreCalls store;
    private final KeyedTopicFollower routes;
    private final KeyedTopicFollower targetEntries;
    private final KeyedTopicFollower hostEntries;
    private final VersionHistory versions;
    private final Map<TargetId, TargetEntry> targets = new TreeMap<>();
    private final LeavingTargets leavingTargets = new LeavingTargets();
    private final Map<TargetId, Long> missingUntilMs = new HashMap<>();
    private final Set<String> unusableEntries = new HashSet<>();
    private final Map<String, HostEntry> hosts = new TreeMap<>();
    private Optional<RouteTable> initialRoutes = Optional.empty();
    private boolean newestRoutesReadable;
    private boolean targetsLoaded;
    private boolean changed;
    private boolean stopping;

    /**
     * Creates the state machine, which stays idle until it receives {@link Event.Started}.
     *
     * @param regions the region of each data centre
     */
    public DirectoryStateMachine(
            DaemonIdentity identity,
            Map<DataCentreId, RegionId> regions,
            DirectoryFormat format,
            RouteTableSettings settings,
            StoreCalls store,
            RandomGenerator random) {
        this.identity = Objects.requireNonNull(identity, "identity must not be null");
        this.regions = Map.copyOf(regions);
        this.format = Objects.requireNonNull(format, "format must not be null");
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.routes = new KeyedTopicFollower(
                format.routes(), ROUTES_TIMER, ROUTES_TIMES, store, random, new RoutesListener());
        this.targetEntries = new KeyedTopicFollower(
                format.targets(), TARGETS_TIMER, TARGETS_TIMES, store, random, new TargetsListener());
        this.hostEntries = new KeyedTopicFollower(HOSTS, HOSTS_TIMER, HOSTS_TIMES, store, random, new HostsListener());
        this.versions = new VersionHistory(identity.host().value(), store, random);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        if (event instanceof Event.Started) {
            routes.start(nowMs, out);
            targetEntries.start(nowMs, out);
            hostEntries.start(nowMs, out);
            versions.start(nowMs, out);
            registerHost(out);
        } else if (event instanceof Event.TimerDue due) {
            timerDue(due.key(), nowMs, out);
        } else if (event instanceof Event.TargetLeaving leaving) {
            targetLeaving(leaving, nowMs, out);
        } else if (event instanceof Event.HostListConfirmationRequested) {
            targetEntries.confirm(nowMs, out);
        } else if (event instanceof Event.StopRequested) {
            stopping = true;
        }
    }

    private void timerDue(TimerKey key, long nowMs, Effects out) {
        if (key.equals(ROUTES_TIMER)) {
            routes.timerDue(nowMs, out);
        } else if (key.equals(TARGETS_TIMER)) {
            targetEntries.timerDue(nowMs, out);
        } else if (key.equals(HOSTS_TIMER)) {
            hostEntries.timerDue(nowMs, out);
        } else if (key.equals(REGISTRATION_TIMER)) {
            registerHost(out);
        } else if (key.equals(MISSING_TIMER)) {
            removeMissing(nowMs, out);
        } else if (!targetEntries.confirmationDue(key, nowMs, out)) {
            versions.timerDue(key, nowMs, out);
        }
    }

    private void targetLeaving(Event.TargetLeaving leaving, long nowMs, Effects out) {
        if (!leavingTargets.stated(leaving.target(), leaving.sentAtMs())) {
            return;
        }
        changed = true;
        stateChanged(
                "target " + leaving.target() + " is leaving, as it stated in the response to a request sent "
                        + (nowMs - leaving.sentAtMs()) + " ms ago; its entry is "
                        + (nowMs - targetEntries.caughtUpAtMs()) + " ms old",
                out);
        notifyIfChanged(nowMs, out);
    }

    private void registerHost(Effects out) {
        HostEntry own = new HostEntry(
                identity.host().value(), HostRole.ENTRY, identity.location(), identity.peerAddress(), Set.of(), false);
        KeyedRecord record = new KeyedRecord(own.name(), HostEntryText.format(own));
        store.call(
                new StoreRequest.Append(HOSTS, List.of(record), Optional.empty(), REGISTRATION_TIMEOUT_MS),
                (response, nowMs, effects) -> {
                    if (!(response instanceof StoreResponse.Appended)) {
                        effects.schedule(REGISTRATION_TIMER, nowMs + REGISTRATION_RETRY_MS);
                    }
                },
                out);
    }

    /** Removes the targets that have not registered again in time; while the store fails, their time is extended. */
    private void removeMissing(long nowMs, Effects out) {
        if (storeFailing(nowMs)) {
            missingUntilMs.replaceAll((target, untilMs) -> Math.max(untilMs, nowMs + REREGISTRATION_GRACE_MS));
        }
        for (Map.Entry<TargetId, Long> missing : Map.copyOf(missingUntilMs).entrySet()) {
            if (nowMs >= missing.getValue()) {
                missingUntilMs.remove(missing.getKey());
                targets.remove(missing.getKey());
                changed = true;
            }
        }
        scheduleMissing(nowMs, out);
        notifyIfChanged(nowMs, out);
    }

    private boolean storeFailing(long nowMs) {
        return !store.available() || nowMs - store.lastFailureAtMs() < STORE_FAILING_MS;
    }

    private void scheduleMissing(long nowMs, Effects out) {
        missingUntilMs.values().stream()
                .min(Long::compare)
                .ifPresent(untilMs -> out.schedule(MISSING_TIMER, Math.max(untilMs, nowMs + 1)));
    }

    private void notifyIfChanged(long nowMs, Effects out) {
        if (!changed) {
            return;
        }
        changed = false;
        settings.updateSlots(targets.values());
        versions.listed(targets.values(), nowMs, out);
        List<HostEntry> listed = new ArrayList<>(hosts.values());
        for (TargetEntry target : targets.values()) {
            RegionId region = regions.get(target.dataCentre());
            if (region != null) {
                listed.add(new HostEntry(
                        target.target().value(),
                        HostRole.TARGET,
                        new Location(region, target.dataCentre()),
                        target.address().toString(),
                        Set.of(target.service()),
                        target.leaving() || leavingTargets.contains(target.target()),
                        target.incarnation(),
                        target.softwareVersion()));
            }
        }
        out.add(new Effect.Raise(new Event.HostListRead(listed)));
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("routesVersion", settings.version());
        writer.field("routesAgeMs", nowMs - routes.caughtUpAtMs());
        writer.field("routesConfirmedAgeMs", nowMs - settings.confirmedAsOfMs());
        writer.field("targetsAgeMs", nowMs - targetEntries.caughtUpAtMs());
        writer.field("targets", targets.size());
        writer.field("missingTargets", missingUntilMs.size());
        writer.field("unusableEntries", unusableEntries.size());
        writer.field("hosts", hosts.size());
        writer.field("storeCalls", store.openCallCount());
    }

    private void install(RouteTable table, long nowMs, Effects out) {
        if (!targetsLoaded) {
            initialRoutes = Optional.of(table);
            return;
        }
        long before = settings.version();
        if (settings.install(table, nowMs, out)) {
            stateChanged(
                    "routes of version " + table.version() + " in force after " + before + ", "
                            + table.routes().size() + " routes",
                    out);
        }
    }

    private static void stateChanged(String text, Effects out) {
        out.add(new Effect.StateChanged(NAME, text));
    }

    private final class RoutesListener implements KeyedTopicFollower.Listener {

        @Override
        public void put(StoreResponse.StoredRecord record, long nowMs, Effects out) {
            if (!record.key().equals(format.routesKey())) {
                return;
            }
            Optional<RouteTable> table = format.routeTable(record.value());
            newestRoutesReadable = false;
            if (table.isEmpty()) {
                stateChanged(
                        "routes at offset " + record.offset() + " cannot be read; the active routes stay in effect",
                        out);
                return;
            }
            install(table.get(), nowMs, out);
            newestRoutesReadable = true;
        }

        @Override
        public void dropped(String key, long nowMs, Effects out) {
            if (key.equals(format.routesKey())) {
                newestRoutesReadable = false;
            }
            stateChanged("key " + key + " of the routes was dropped; the active routes stay in effect", out);
        }

        @Override
        public void caughtUp(long nowMs, Effects out) {
            if (newestRoutesReadable) {
                settings.confirm(routes.confirmedAsOfMs());
            }
        }
    }

    private final class TargetsListener implements KeyedTopicFollower.Listener {

        @Override
        public void put(StoreResponse.StoredRecord record, long nowMs, Effects out) {
            Optional<TargetEntry> entry = format.target(record.key(), record.value());
            if (entry.isEmpty()) {
                if (unusableEntries.add(record.key())) {
                    stateChanged("entry " + record.key() + " is not a valid target entry; the target is not used", out);
                }
                removeTarget(record.key(), nowMs, out);
                return;
            }
            TargetEntry target = entry.get();
            unusableEntries.remove(record.key());
            missingUntilMs.remove(target.target());
            leavingTargets.listed(target.target(), target.incarnation(), nowMs);
            boolean newVersion = targetsLoaded && !listsVersionOf(target);
            TargetEntry before = targets.put(target.target(), target);
            if (!target.equals(before)) {
                changed = true;
                stateChanged(
                        "target " + target.target() + " of " + target.service() + " at " + target.address()
                                + (target.leaving() ? " is leaving" : " is ready") + ", software version "
                                + target.softwareVersion(),
                        out);
            }
            if (newVersion) {
                // A target of this version may be gone again at the end of the same read.
                notifyIfChanged(nowMs, out);
            }
        }

        private boolean listsVersionOf(TargetEntry target) {
            return targets.values().stream()
                    .anyMatch(listed -> listed.service().equals(target.service())
                            && listed.softwareVersion().equals(target.softwareVersion()));
        }

        @Override
        public void dropped(String key, long nowMs, Effects out) {
            unusableEntries.remove(key);
            removeTarget(key, nowMs, out);
        }

        private void removeTarget(String key, long nowMs, Effects out) {
            if (!Names.isName(key)) {
                return;
            }
            TargetId target = new TargetId(key);
            if (!targets.containsKey(target)) {
                return;
            }
            if (storeFailing(nowMs)) {
                missingUntilMs.putIfAbsent(target, nowMs + REREGISTRATION_GRACE_MS);
                scheduleMissing(nowMs, out);
                stateChanged(
                        "target " + target
                                + " is missing after a store failure; kept until its time to register again is over",
                        out);
                return;
            }
            targets.remove(target);
            changed = true;
            stateChanged("target " + target + " was removed", out);
        }

        @Override
        public void caughtUp(long nowMs, Effects out) {
            notifyIfChanged(nowMs, out);
            out.add(new Effect.Raise(new Event.HostListConfirmed(targetEntries.confirmedAsOfMs())));
            if (!targetsLoaded) {
                targetsLoaded = true;
                initialRoutes.ifPresent(table -> install(table, nowMs, out));
            }
        }

        @Override
        public void unconfirmed(long sentAtMs, long nowMs, Effects out) {
            out.add(new Effect.Raise(new Event.HostListUnconfirmed(sentAtMs)));
        }

        @Override
        public void reloaded(long nowMs, Effects out) {
            stateChanged("targets have been loaded again; versions may have come and gone meanwhile", out);
            out.add(new Effect.Raise(new Event.HostListGap()));
            versions.confirm(nowMs, out);
        }
    }

    private final class HostsListener implements KeyedTopicFollower.Listener {

        @Override
        public void put(StoreResponse.StoredRecord record, long nowMs, Effects out) {
            Optional<HostEntry> host = HostEntryText.parse(record.key(), record.value());
            if (host.isEmpty()) {
                stateChanged("host entry " + record.key() + " cannot be read", out);
            } else if (!host.get().equals(hosts.put(record.key(), host.get()))) {
                changed = true;
            }
        }

        @Override
        public void dropped(String key, long nowMs, Effects out) {
            changed |= hosts.remove(key) != null;
            if (key.equals(identity.host().value()) && !stopping) {
                registerHost(out);
            }
        }

        @Override
        public void caughtUp(long nowMs, Effects out) {
            notifyIfChanged(nowMs, out);
        }
    }

    /** The text format of a host entry: region, data centre and peer address, each on its own line. */
    private static final class HostEntryText {

        private static final int LINES = 3;

        static ByteString format(HostEntry host) {
            return ByteString.copyFromUtf8(String.join(
                    "\n",
                    host.location().region().value(),
                    host.location().dataCentre().value(),
                    host.address()));
        }

        static Optional<HostEntry> parse(String name, ByteString value) {
            String[] lines = value.toStringUtf8().split("\n");
            if (lines.length != LINES || !Names.isName(name) || !Names.isName(lines[0]) || !Names.isName(lines[1])) {
                return Optional.empty();
            }
            Location location = new Location(new RegionId(lines[0]), new DataCentreId(lines[1]));
            return Optional.of(new HostEntry(name, HostRole.ENTRY, location, lines[2], Set.of(), false));
        }
    }
}
