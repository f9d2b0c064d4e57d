package org.cornelcrank.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.store.KeyedTopicFollower;
import org.cornelcrank.store.StoreCalls;

/**
 * Keeps in the store, by service, the versions of the targets' software that open streams may have begun with.
 *
 * <p>A daemon that starts cannot tell from the listed targets which others have just left. Invariants: a version is
 * added as soon as it is listed; one is removed only after neither the listed nor the stored versions have changed for
 * the lifetime of a stream, so that a daemon which stood still removes nothing that others have added. The daemons
 * write in turn, and one whose turn comes after it has read the change writes nothing. Not thread-safe: confined to
 * the daemon's event loop.
 */
final class VersionHistory implements KeyedTopicFollower.Listener {

    static final TimerKey FOLLOW_TIMER = new TimerKey(DirectoryStateMachine.NAME, "versions");
    static final TimerKey WRITE_TIMER = new TimerKey(DirectoryStateMachine.NAME, "write-versions");
    static final TopicPartition VERSIONS = new TopicPartition("versions", 0);

    /** The store may hold a read for long, as a change matters only to daemons that start later. */
    private static final KeyedTopicFollower.Times TIMES = new KeyedTopicFollower.Times(15_000, 300);

    /** The time within which the turns of all daemons lie, in ms; many times the store's usual response time. */
    private static final long TURNS_MS = 1_000;

    /** The time limit for a write, in ms. */
    private static final long WRITE_TIMEOUT_MS = 2_000;

    /** The pause after a write, in ms: a failed one may be retried, a successful one has been read by then. */
    private static final long WRITE_PAUSE_MS = 1_000;

    private final String self;
    private final StoreCalls store;
    private final KeyedTopicFollower follower;
    private final Map<ServiceName, Versions> services = new TreeMap<>();
    private boolean loaded;
    private boolean changed;

    /**
     * Creates a history that is idle until {@link #start}.
     *
     * @param self the name of this daemon's host
     */
    VersionHistory(String self, StoreCalls store, RandomGenerator random) {
        this.self = Objects.requireNonNull(self, "self must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.follower = new KeyedTopicFollower(VERSIONS, FOLLOW_TIMER, TIMES, store, random, this);
    }

    void start(long nowMs, Effects out) {
        follower.start(nowMs, out);
    }

    /** Reads at once what is recorded. */
    void confirm(long nowMs, Effects out) {
        follower.confirm(nowMs, out);
    }

    /** Handles a timer; returns whether it belongs to this history. */
    boolean timerDue(TimerKey key, long nowMs, Effects out) {
        if (key.equals(FOLLOW_TIMER)) {
            follower.timerDue(nowMs, out);
        } else if (key.equals(WRITE_TIMER)) {
            writeDue(nowMs, out);
        } else {
            return follower.confirmationDue(key, nowMs, out);
        }
        return true;
    }

    /** Records the targets that are listed now. */
    void listed(Collection<TargetEntry> targets, long nowMs, Effects out) {
        Map<ServiceName, Set<String>> versions = new HashMap<>();
        targets.forEach(target -> versions.computeIfAbsent(target.service(), service -> new TreeSet<>())
                .add(target.softwareVersion().text()));
        versions.forEach((service, listed) -> versions(service).listed(listed, nowMs));
        writeDue(nowMs, out);
    }

    private Versions versions(ServiceName service) {
        return services.computeIfAbsent(service, name -> new Versions());
    }

    private void writeDue(long nowMs, Effects out) {
        if (!loaded) {
            return;
        }
        services.forEach(
                (service, versions) -> versions.dueAtMs(turnMs(service)).ifPresent(dueAtMs -> {
                    if (dueAtMs <= nowMs) {
                        write(service, versions, nowMs, out);
                    }
                }));
        services.entrySet().stream()
                .flatMapToLong(entry -> entry.getValue().dueAtMs(turnMs(entry.getKey())).stream())
                .min()
                .ifPresent(dueAtMs -> out.schedule(WRITE_TIMER, Math.max(nowMs + 1, dueAtMs)));
    }

    private long turnMs(ServiceName service) {
        return Math.floorMod(StableHash.of(self + "/" + service), TURNS_MS);
    }

    private void write(ServiceName service, Versions versions, long nowMs, Effects out) {
        versions.pausedUntilMs = nowMs + WRITE_PAUSE_MS;
        Set<String> wanted = versions.wanted();
        out.add(new Effect.StateChanged(
                DirectoryStateMachine.NAME,
                "versions of " + service + " to be stored: " + wanted + " in place of " + versions.stored));
        KeyedRecord record = new KeyedRecord(service.value(), ByteString.copyFromUtf8(encode(wanted)));
        store.call(
                new StoreRequest.Append(VERSIONS, List.of(record), Optional.empty(), WRITE_TIMEOUT_MS),
                (response, respondedAtMs, effects) -> {
                    if (!(response instanceof StoreResponse.Appended)) {
                        effects.add(new Effect.StateChanged(
                                DirectoryStateMachine.NAME,
                                "versions of " + service + " could not be stored: " + response));
                    }
                },
                out);
    }

    /** Encodes versions in Base64, as their text may hold any character, each on its own line. */
    private static String encode(Set<String> versions) {
        return versions.stream()
                .map(version -> Base64.getEncoder().encodeToString(version.getBytes(StandardCharsets.UTF_8)))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    /** Decodes versions; a text that cannot be read counts as a single version, which no target has. */
    private static Set<String> decode(String text) {
        try {
            return Stream.of(text.split("\n"))
                    .map(line -> new String(Base64.getDecoder().decode(line), StandardCharsets.UTF_8))
                    .map(version -> new SoftwareVersion(version).text())
                    .collect(Collectors.toCollection(TreeSet::new));
        } catch (IllegalArgumentException e) {
            return Set.of("unreadable");
        }
    }

    @Override
    public void put(StoreResponse.StoredRecord record, long nowMs, Effects out) {
        if (!Names.isName(record.key())) {
            return;
        }
        Set<String> stored = decode(record.value().toStringUtf8());
        changed |= versions(new ServiceName(record.key())).stored(stored, nowMs);
    }

    @Override
    public void dropped(String key, long nowMs, Effects out) {
        if (Names.isName(key)) {
            changed |= versions(new ServiceName(key)).stored(Set.of(), nowMs);
        }
    }

    @Override
    public void caughtUp(long nowMs, Effects out) {
        Map<ServiceName, Set<SoftwareVersion>> recorded = new HashMap<>();
        services.forEach((service, versions) -> recorded.put(
                service, versions.stored.stream().map(SoftwareVersion::new).collect(Collectors.toSet())));
        out.add(new Effect.Raise(new Event.VersionsRecorded(recorded, follower.confirmedAsOfMs())));
        if (changed || !loaded) {
            loaded = true;
            changed = false;
            writeDue(nowMs, out);
        }
    }

    /** The versions of one service. */
    private static final class Versions {

        private Set<String> listed = Set.of();
        private Set<String> stored = Set.of();
        private long listedChangedAtMs;
        private long changedAtMs;
        private long pausedUntilMs;

        void listed(Set<String> now, long nowMs) {
            if (!now.equals(listed)) {
                listed = now;
                listedChangedAtMs = nowMs;
                changedAtMs = nowMs;
            }
        }

        boolean stored(Set<String> now, long nowMs) {
            if (now.equals(stored)) {
                return false;
            }
            stored = now;
            changedAtMs = nowMs;
            return true;
        }

        /** Returns the versions to store: all that are listed, and those that are stored if one has to be added. */
        Set<String> wanted() {
            if (stored.containsAll(listed)) {
                return listed;
            }
            Set<String> all = new TreeSet<>(stored);
            all.addAll(listed);
            return all;
        }

        /** Returns the time in ms at which a daemon with the given delay is to write, empty if nothing is to change. */
        OptionalLong dueAtMs(long turnMs) {
            if (listed.isEmpty() || stored.equals(listed)) {
                return OptionalLong.empty();
            }
            long dueAtMs =
                    stored.containsAll(listed) ? changedAtMs + SoftwareVersion.STREAM_LIFETIME_MS : listedChangedAtMs;
            return OptionalLong.of(Math.max(dueAtMs + turnMs, pausedUntilMs));
        }
    }
}
