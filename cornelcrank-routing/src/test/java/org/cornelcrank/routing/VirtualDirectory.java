package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.SoftwareVersion;

/**
 * The directory of targets in the store, linearizable, and the waiting reads with which each daemon follows it.
 *
 * <p>A daemon that is cut off from the store gets no answer to what it sent before or during the cut, except to what
 * had been answered by then. Recorded versions are never removed: a play is shorter than the lifetime of a stream.
 */
final class VirtualDirectory {

    private static final Location STORE = VirtualFleet.SOUTH;

    /** How long the store holds a read open while nothing changes, in ms. */
    private static final long HELD_MS = 2_500;

    /** How long a daemon waits for the answer to a read that is held open, in ms. */
    private static final long READ_TIMEOUT_MS = HELD_MS + 1_500;

    private static final long CONFIRM_TIMEOUT_MS = 1_000;

    /** The time within which a version is recorded after a daemon has listed it, in ms. */
    private static final int RECORDED_WITHIN_MS = 1_000;

    private final VirtualFleet fleet;
    private final SplittableRandom random;
    private final Topic<List<HostEntry>> targets = new Topic<>(List.of());
    private final Topic<Set<SoftwareVersion>> versions = new Topic<>(Set.of());
    private final Set<SoftwareVersion> everListed = new HashSet<>();
    private final Map<HostId, TargetsReader> readers = new HashMap<>();
    private final Set<HostId> cutOff = new HashSet<>();
    private final Set<HostId> refused = new HashSet<>();
    private final Map<HostId, Integer> cuts = new HashMap<>();

    /** Creates the directory with the listing that all daemons know already. */
    VirtualDirectory(VirtualFleet fleet, List<HostEntry> hosts) {
        this.fleet = fleet;
        this.random = fleet.random.split();
        targets.set(hosts);
        hosts.forEach(host -> everListed.add(host.softwareVersion()));
        versions.set(Set.copyOf(everListed));
        for (VirtualFleet.Node node : fleet.nodes) {
            TargetsReader reader = new TargetsReader(node);
            reader.seen = targets.version;
            readers.put(node.identity.host(), reader);
            reader.follow();
            new VersionsReader(node).follow();
        }
    }

    void list(List<HostEntry> hosts) {
        targets.set(hosts);
    }

    void cutOff(VirtualFleet.Node node) {
        cutOff.add(node.identity.host());
        cuts.merge(node.identity.host(), 1, Integer::sum);
    }

    void reconnect(VirtualFleet.Node node) {
        cutOff.remove(node.identity.host());
    }

    /** Lets the store refuse a daemon's reads at once, as with status 503. */
    void refuse(VirtualFleet.Node node) {
        refused.add(node.identity.host());
    }

    boolean reachedBy(VirtualFleet.Node node) {
        return !cutOff.contains(node.identity.host());
    }

    /** Reads the targets once more for a daemon, from now on, as it does before it trusts what it has listed. */
    void confirm(VirtualFleet.Node node) {
        readers.get(node.identity.host()).confirm();
    }

    /** Lets the versions that a daemon has listed first be recorded within a second. */
    private void listedByADaemon(List<HostEntry> hosts) {
        for (HostEntry host : hosts) {
            if (everListed.add(host.softwareVersion())) {
                fleet.at(fleet.nowMs + random.nextInt(RECORDED_WITHIN_MS), () -> {
                    Set<SoftwareVersion> all = new HashSet<>(versions.value);
                    all.add(host.softwareVersion());
                    versions.set(Set.copyOf(all));
                });
            }
        }
    }

    /** A value in the store with its version, and the reads that wait for the next one. */
    private final class Topic<T> {

        private T value;
        private long version;
        private final List<Runnable> waiting = new ArrayList<>();

        Topic(T value) {
            this.value = value;
        }

        void set(T newValue) {
            value = newValue;
            version++;
            List<Runnable> due = List.copyOf(waiting);
            waiting.clear();
            due.forEach(Runnable::run);
        }

        /** Calls back once, at once if the value is newer than the one seen, otherwise with the next or in time. */
        void await(long seen, long heldMs, Runnable callback) {
            if (version > seen || heldMs == 0) {
                callback.run();
                return;
            }
            boolean[] done = new boolean[1];
            Runnable once = () -> {
                if (!done[0]) {
                    done[0] = true;
                    callback.run();
                }
            };
            waiting.add(once);
            fleet.at(fleet.nowMs + heldMs, once);
        }
    }

    /** One daemon's reads of a topic. */
    private abstract class Reader<T> {

        final VirtualFleet.Node node;
        final Topic<T> topic;
        long seen;

        Reader(VirtualFleet.Node node, Topic<T> topic) {
            this.node = node;
            this.topic = topic;
        }

        /** Handles the failure of a read. */
        void handleFailure(long sentAtMs) {}

        /** Handles an answer, of which {@code changed} states whether it is newer than what the daemon has seen. */
        abstract void handle(T value, boolean changed, long sentAtMs);

        void follow() {
            read(HELD_MS, READ_TIMEOUT_MS, this::follow, sentAtMs -> {
                handleFailure(sentAtMs);
                fleet.at(fleet.nowMs + random.nextInt(100, 800), this::follow);
            });
        }

        void read(long heldMs, long timeoutMs, Runnable then, LongConsumer otherwise) {
            HostId host = node.identity.host();
            long sentAtMs = fleet.nowMs;
            boolean[] ended = new boolean[1];
            Consumer<Runnable> end = action -> node.whenAwake(() -> {
                if (!ended[0] && node.alive) {
                    ended[0] = true;
                    action.run();
                }
            });
            fleet.at(sentAtMs + timeoutMs, () -> end.accept(() -> otherwise.accept(sentAtMs)));
            if (!reachedBy(node)) {
                return;
            }
            if (refused.contains(host)) {
                fleet.at(
                        sentAtMs + 2 * VirtualFleet.latencyMs(node.identity.location(), STORE),
                        () -> end.accept(() -> otherwise.accept(sentAtMs)));
                return;
            }
            int cutsBefore = cuts.getOrDefault(host, 0);
            long latencyMs = VirtualFleet.latencyMs(node.identity.location(), STORE);
            fleet.at(
                    sentAtMs + latencyMs,
                    () -> topic.await(seen, heldMs, () -> {
                        if (cuts.getOrDefault(host, 0) != cutsBefore) {
                            return;
                        }
                        T value = topic.value;
                        long version = topic.version;
                        fleet.at(
                                fleet.nowMs + latencyMs + node.storeLagMs,
                                () -> end.accept(() -> {
                                    boolean changed = version > seen;
                                    seen = Math.max(seen, version);
                                    handle(value, changed, sentAtMs);
                                    then.run();
                                }));
                    }));
        }
    }

    private final class TargetsReader extends Reader<List<HostEntry>> {

        private boolean confirming;
        private boolean confirmsAgain;

        TargetsReader(VirtualFleet.Node node) {
            super(node, targets);
        }

        @Override
        void handle(List<HostEntry> hosts, boolean changed, long sentAtMs) {
            if (changed) {
                listedByADaemon(hosts);
                node.handle(new Event.HostListRead(hosts));
            }
            node.handle(new Event.HostListConfirmed(sentAtMs));
        }

        @Override
        void handleFailure(long sentAtMs) {
            node.handle(new Event.HostListUnconfirmed(sentAtMs));
        }

        void confirm() {
            if (confirming) {
                confirmsAgain = true;
            } else {
                confirming = true;
                read(0, CONFIRM_TIMEOUT_MS, this::confirmEnded, sentAtMs -> {
                    node.handle(new Event.HostListUnconfirmed(sentAtMs));
                    confirmEnded();
                });
            }
        }

        private void confirmEnded() {
            confirming = false;
            if (confirmsAgain) {
                confirmsAgain = false;
                confirm();
            }
        }
    }

    private final class VersionsReader extends Reader<Set<SoftwareVersion>> {

        VersionsReader(VirtualFleet.Node node) {
            super(node, versions);
        }

        @Override
        void handle(Set<SoftwareVersion> recorded, boolean changed, long sentAtMs) {
            if (changed) {
                node.handle(new Event.VersionsRecorded(Map.of(VirtualFleet.SERVICE, recorded), sentAtMs));
            }
        }
    }
}
