package org.cornelcrank.gateway;

import java.util.ArrayList;
import java.util.HashMap;
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
 * Follows the routes, the targets and the entry hosts in the store, and tells the other duties of them.
 *
 * <p>This daemon's own host is entered at its start. Invariants: routes never go back to an older version; the first ones
 * are in force only once the targets are known too; a target whose entry vanished while the store was failing stays until
 * it has had time to register again. Without the store the last state known stands. Not thread-safe: confined to the
 * daemon's event loop.
 */
public final class DirectoryStateMachine implements StateMachine {

    public static final String NAME = "directory";

    private static final TopicPartition HOSTS = new TopicPartition("hosts", 0);
    private static final TimerKey ROUTES_TIMER = new TimerKey(NAME, "routes");
    private static final TimerKey TARGETS_TIMER = new TimerKey(NAME, "targets");
    private static final TimerKey HOSTS_TIMER = new TimerKey(NAME, "hosts");
    private static final TimerKey ENTER_TIMER = new TimerKey(NAME, "enter");
    private static final TimerKey MISSING_TIMER = new TimerKey(NAME, "missing");

    /** How long the store keeps a read of routes or targets waiting, in ms: well under the time to learn a change in. */
    private static final long FOLLOW_WAIT_MS = 2_500;

    /** How long the store keeps a read of hosts waiting, in ms: membership learns of hosts faster. */
    private static final long HOSTS_WAIT_MS = 15_000;

    /** How long a target may stay missing after a failure of the store, in ms: the platform's promise is two seconds. */
    private static final long REGISTER_AGAIN_MS = 2_000;

    /** How long after a failed call the store counts as failing, in ms. */
    private static final long FAILING_MS = 1_000;

    /** The pause before this host is entered again after a failure, in ms. */
    private static final long ENTER_AGAIN_MS = 500;

    /** How long an append of this host's entry may take, in ms. */
    private static final long ENTER_TIMEOUT_MS = 2_000;

    private final DaemonIdentity identity;
    private final Map<DataCentreId, RegionId> regions;
    private final DirectoryFormat format;
    private final RouteTableSettings settings;
    private final StoreCalls store;
    private final KeyedTopicFollower routes;
    private final KeyedTopicFollower targetEntries;
    private final KeyedTopicFollower hostEntries;
    private final Map<TargetId, TargetEntry> targets = new TreeMap<>();
    private final Map<TargetId, Long> missingUntilMs = new HashMap<>();
    private final Map<String, HostEntry> hosts = new TreeMap<>();
    private Optional<RouteTable> firstRoutes = Optional.empty();
    private boolean targetsKnown;
    private boolean changed;
    private boolean stopping;

    /**
     * Creates the duty; it does nothing until it gets {@link Event.Started}.
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
                format.routes(), ROUTES_TIMER, FOLLOW_WAIT_MS, store, random, new RoutesListener());
        this.targetEntries = new KeyedTopicFollower(
                format.targets(), TARGETS_TIMER, FOLLOW_WAIT_MS, store, random, new TargetsListener());
        this.hostEntries =
                new KeyedTopicFollower(HOSTS, HOSTS_TIMER, HOSTS_WAIT_MS, store, random, new HostsListener());
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
            enter(out);
        } else if (event instanceof Event.TimerDue due) {
            timerDue(due.key(), nowMs, out);
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
        } else if (key.equals(ENTER_TIMER)) {
            enter(out);
        } else if (key.equals(MISSING_TIMER)) {
            forgetMissing(nowMs, out);
        }
    }

    private void enter(Effects out) {
        HostEntry own = new HostEntry(
                identity.host().value(), HostRole.ENTRY, identity.location(), identity.peerAddress(), Set.of(), false);
        KeyedRecord record = new KeyedRecord(own.name(), HostEntryText.format(own));
        store.call(
                new StoreRequest.Append(HOSTS, List.of(record), Optional.empty(), ENTER_TIMEOUT_MS),
                (answer, nowMs, effects) -> {
                    if (!(answer instanceof StoreResponse.Appended)) {
                        effects.schedule(ENTER_TIMER, nowMs + ENTER_AGAIN_MS);
                    }
                },
                out);
    }

    /** Drops the targets that have not come back in time; the store may have dropped them only as it failed. */
    private void forgetMissing(long nowMs, Effects out) {
        if (storeFails(nowMs)) {
            missingUntilMs.replaceAll((target, untilMs) -> Math.max(untilMs, nowMs + REGISTER_AGAIN_MS));
        }
        for (Map.Entry<TargetId, Long> missing : Map.copyOf(missingUntilMs).entrySet()) {
            if (nowMs >= missing.getValue()) {
                missingUntilMs.remove(missing.getKey());
                targets.remove(missing.getKey());
                changed = true;
            }
        }
        scheduleMissing(nowMs, out);
        tellChanges(nowMs, out);
    }

    private boolean storeFails(long nowMs) {
        return !store.available() || nowMs - store.failedAtMs() < FAILING_MS;
    }

    private void scheduleMissing(long nowMs, Effects out) {
        missingUntilMs.values().stream()
                .min(Long::compare)
                .ifPresent(untilMs -> out.schedule(MISSING_TIMER, Math.max(untilMs, nowMs + 1)));
    }

    private void tellChanges(long nowMs, Effects out) {
        if (!changed) {
            return;
        }
        changed = false;
        settings.slots(targets.values());
        List<HostEntry> listed = new ArrayList<>(hosts.values());
        for (TargetEntry target : targets.values()) {
            RegionId region = regions.get(target.dataCentre());
            if (region != null) {
                listed.add(new HostEntry(
                        target.target().value(),
                        HostRole.TARGET,
                        new Location(region, target.dataCentre()),
                        target.address(),
                        Set.of(target.service()),
                        target.leaving()));
            }
        }
        out.add(new Effect.Raise(new Event.HostListRead(listed)));
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("routesVersion", settings.version());
        writer.field("routesAgeMs", nowMs - routes.currentAtMs());
        writer.field("targetsAgeMs", nowMs - targetEntries.currentAtMs());
        writer.field("targets", targets.size());
        writer.field("missingTargets", missingUntilMs.size());
        writer.field("hosts", hosts.size());
        writer.field("storeCalls", store.size());
    }

    private void install(RouteTable table, long nowMs, Effects out) {
        if (!targetsKnown) {
            firstRoutes = Optional.of(table);
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
            if (table.isEmpty()) {
                stateChanged("routes at offset " + record.offset() + " cannot be read; the last ones stay", out);
                return;
            }
            install(table.get(), nowMs, out);
        }

        @Override
        public void dropped(String key, long nowMs, Effects out) {
            stateChanged("key " + key + " of the routes was dropped; the last routes stay", out);
        }
    }

    private final class TargetsListener implements KeyedTopicFollower.Listener {

        @Override
        public void put(StoreResponse.StoredRecord record, long nowMs, Effects out) {
            Optional<TargetEntry> entry = format.target(record.key(), record.value());
            if (entry.isEmpty()) {
                stateChanged("entry " + record.key() + " names no target to use", out);
                dropped(record.key(), nowMs, out);
                return;
            }
            TargetEntry target = entry.get();
            missingUntilMs.remove(target.target());
            TargetEntry before = targets.put(target.target(), target);
            if (!target.equals(before)) {
                changed = true;
                stateChanged(
                        "target " + target.target() + " of " + target.service() + " at " + target.address()
                                + (target.leaving() ? " leaves" : " is ready"),
                        out);
            }
        }

        @Override
        public void dropped(String key, long nowMs, Effects out) {
            if (!Names.isName(key)) {
                return;
            }
            TargetId target = new TargetId(key);
            if (!targets.containsKey(target)) {
                return;
            }
            if (storeFails(nowMs)) {
                missingUntilMs.putIfAbsent(target, nowMs + REGISTER_AGAIN_MS);
                scheduleMissing(nowMs, out);
                stateChanged("target " + target + " is missing after a failure of the store", out);
                return;
            }
            targets.remove(target);
            changed = true;
            stateChanged("target " + target + " is gone", out);
        }

        @Override
        public void current(long nowMs, Effects out) {
            tellChanges(nowMs, out);
            if (!targetsKnown) {
                targetsKnown = true;
                firstRoutes.ifPresent(table -> install(table, nowMs, out));
            }
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
                enter(out);
            }
        }

        @Override
        public void current(long nowMs, Effects out) {
            tellChanges(nowMs, out);
        }
    }

    /** The text form of a host's entry: region, data centre and peer address, one a line. */
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
