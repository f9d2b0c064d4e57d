package org.cornelcrank.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.RendezvousHash;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;

/**
 * Finds the prompt parts that crash each target that generates a response to them, and quarantines such parts.
 *
 * <p>Requests that share a part differ in everything else, so that {@link SuspectRegistry} does not recognize them. A
 * part is quarantined after several crashes under different requests with it, if none of them has succeeded since the
 * first, requests without it fare better, and no other part explains the same crashes better. The daemon that finds
 * this publishes it. One request at a time is then let through as a trial, at growing intervals; its success lifts the
 * quarantine. Answers the load of a few such requests a second among many sound ones that share their other parts.
 *
 * <p>Invariant: holds at most {@link #MAX_PARTS} parts. Not thread-safe: confined to the daemon's event loop.
 */
final class PromptPartRegistry {

    static final String CRASH_PREFIX = "part-crash/";
    static final String STATE_PREFIX = "part-state/";

    private static final int MAX_PARTS = 10_000;
    private static final int MAX_OWN_CRASHES = 1_000;
    private static final String CLEARED = "cleared";

    private final RoutingSettings.PromptParts settings;
    private final long crashWindowMs;
    private final HostId self;
    private final MembershipView membership;
    private final Dissemination dissemination;
    private final MetricRegistry metrics;
    private final Map<Long, PromptPartRecord> records = new TreeMap<>();
    private final Queue<PartCrash> ownCrashes = new ArrayDeque<>();
    private final Map<Long, Long> succeededAtMs = new LinkedHashMap<>(16, 0.75f, true) {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_PARTS;
        }
    };

    PromptPartRegistry(
            RoutingSettings routing,
            DaemonIdentity identity,
            MembershipView membership,
            Dissemination dissemination,
            MetricRegistry metrics) {
        this.settings = routing.promptParts();
        this.crashWindowMs = routing.quarantine().deathWindowMs();
        this.self = identity.host();
        this.membership = membership;
        this.dissemination = dissemination;
        this.metrics = metrics;
    }

    /**
     * Records that a target crashed while it ran a request with these parts; a part of a request that succeeded
     * recently is not accused.
     */
    void crashed(SuspectRun run, long fingerprint, TargetId target, long atMs, long nowMs, Effects out) {
        ownCrashes.add(new PartCrash(run.service(), fingerprint, target, atMs));
        if (ownCrashes.size() > MAX_OWN_CRASHES) {
            ownCrashes.remove();
        }
        for (long part : run.sharedParts()) {
            Long succeeded = succeededAtMs.get(part);
            if (succeeded != null && nowMs - succeeded < settings.recentSuccessMs()) {
                continue;
            }
            String key = CRASH_PREFIX + hex(part) + "/" + hex(fingerprint) + "/" + target;
            publish(key, atMs, run.service().value(), nowMs, out);
        }
    }

    /** Records that a request arrived, as a measure of how common its parts are. */
    void arrived(List<Long> parts) {
        records.forEach((part, record) -> record.arrived(parts.contains(part)));
    }

    /** Records that a request succeeded, which clears its parts and makes a crash by chance less likely for others. */
    void succeeded(List<Long> parts, ServiceName service, long nowMs, Effects out) {
        for (long part : parts) {
            succeededAtMs.put(part, nowMs);
            PromptPartRecord record = records.get(part);
            if (record != null && record.accused()) {
                lift(part, nowMs, out);
            }
        }
        if (records.isEmpty()) {
            return;
        }
        records.forEach((part, record) -> {
            if (!parts.contains(part)) {
                record.succeededWithout(service);
            }
        });
        quarantineCulprits(nowMs, out);
    }

    /** Lifts the quarantine of a part and forgets the crashes so far; does nothing if there are none. */
    void lift(long part, long nowMs, Effects out) {
        PromptPartRecord record = records.get(part);
        if (record != null) {
            publish(STATE_PREFIX + hex(part), record.nextVersion(nowMs), CLEARED, nowMs, out);
        }
    }

    private void quarantineCulprits(long nowMs, Effects out) {
        List<Long> culprits = new ArrayList<>();
        records.forEach((part, record) -> {
            if (!record.quarantined() && isCulprit(record)) {
                culprits.add(part);
            }
        });
        for (long part : culprits) {
            metrics.counter("routing.parts-quarantined").inc();
            publishQuarantine(part, 0, nowMs, out);
        }
    }

    private boolean isCulprit(PromptPartRecord record) {
        if (record.crashes().size() < settings.crashesToQuarantine()) {
            return false;
        }
        boolean othersFareBetter = othersSucceed(record) || explainsOwnCrashes(record);
        if (!othersFareBetter) {
            return false;
        }
        List<PartCrash> unexplained = record.crashes().stream()
                .filter(crash -> !explainedByOther(crash, record))
                .toList();
        return PromptPartRecord.countRequests(unexplained) >= settings.requestsToQuarantine()
                && PromptPartRecord.countCrashes(unexplained, crashWindowMs) >= settings.crashesToQuarantine();
    }

    /** Returns whether this daemon's requests without the part mostly succeed, apart from crashes that it explains. */
    private boolean othersSucceed(PromptPartRecord record) {
        long crashedWithout = ownCrashesSince(record).stream()
                .filter(own -> !record.includes(own, crashWindowMs))
                .count();
        return record.successesWithout()
                >= Math.max(settings.successesWithout(), settings.successesPerCrash() * crashedWithout);
    }

    /**
     * Returns whether the part was in flight at each of several crashes that this daemon has seen, though at least half
     * of its requests lack it. Decides while so many targets are down that hardly any request can succeed.
     */
    private boolean explainsOwnCrashes(PromptPartRecord record) {
        List<PartCrash> own = ownCrashesSince(record);
        return record.arrivedWithout() >= Math.max(settings.arrivalsWithout(), record.arrivedWith())
                && PromptPartRecord.countCrashes(own, crashWindowMs) >= settings.explainedCrashes()
                && own.stream().allMatch(crash -> record.includes(crash, crashWindowMs));
    }

    private List<PartCrash> ownCrashesSince(PromptPartRecord record) {
        return ownCrashes.stream()
                .filter(own -> own.atMs() >= record.firstCrashMs())
                .toList();
    }

    /** Returns whether a part with more crashes was in flight at the same crash. */
    private boolean explainedByOther(PartCrash crash, PromptPartRecord record) {
        return records.values().stream()
                .filter(other -> other.crashes().size() > record.crashes().size())
                .anyMatch(other -> other.includes(crash, crashWindowMs));
    }

    /** Returns whether one of the parts is quarantined. */
    boolean quarantined(Collection<Long> parts) {
        return !quarantinedAmong(parts).isEmpty();
    }

    /** Returns when a request with these parts may be tried again, in ms from now; zero if that is now. */
    long retryAfterMs(Collection<Long> parts, long nowMs) {
        return quarantinedAmong(parts).values().stream()
                .mapToLong(record -> Math.max(0, record.trialAtMs() - nowMs))
                .max()
                .orElse(0);
    }

    /** Begins a trial of the quarantined parts, with a request that is dispatched now. */
    void beginTrial(Collection<Long> parts, long nowMs, Effects out) {
        metrics.counter("routing.parts-tried").inc();
        quarantinedAmong(parts).forEach((part, record) -> publishQuarantine(part, record.trials() + 1, nowMs, out));
    }

    /** Takes a trial back whose request has not run. */
    void trialNotRun(Collection<Long> parts, long nowMs, Effects out) {
        quarantinedAmong(parts)
                .forEach((part, record) -> publishQuarantine(part, Math.max(0, record.trials() - 1), nowMs, out));
    }

    /** Keeps quarantines from expiring while requests with their parts are refused. */
    void refused(Collection<Long> parts, long nowMs, Effects out) {
        quarantinedAmong(parts).forEach((part, record) -> {
            if (nowMs >= record.renewAtMs()) {
                publishQuarantine(part, record.trials(), nowMs, out);
            }
        });
    }

    private Map<Long, PromptPartRecord> quarantinedAmong(Collection<Long> parts) {
        Map<Long, PromptPartRecord> quarantined = new LinkedHashMap<>();
        for (long part : parts) {
            PromptPartRecord record = records.get(part);
            if (record != null && record.quarantined()) {
                quarantined.put(part, record);
            }
        }
        return quarantined;
    }

    private void publishQuarantine(long part, int trials, long nowMs, Effects out) {
        long version = records.get(part).nextVersion(nowMs);
        publish(STATE_PREFIX + hex(part), version, Integer.toString(trials), nowMs, out);
    }

    private void publish(String key, long version, String value, long nowMs, Effects out) {
        Fact fact = new Fact(
                RoutingStateMachine.NAME,
                key,
                version,
                ByteString.copyFromUtf8(value),
                settings.lifetimeMs(),
                Fact.Scope.EVERYWHERE);
        dissemination.publish(fact, nowMs, out);
    }

    /** Applies a finding of any daemon, including this one. */
    void factReceived(Fact fact, long nowMs, Effects out) {
        String[] key = fact.key().split("/");
        long part = Long.parseUnsignedLong(key[1], 16);
        PromptPartRecord record = records.computeIfAbsent(part, hash -> new PromptPartRecord());
        String value = fact.value().toStringUtf8();
        if (fact.key().startsWith(CRASH_PREFIX)) {
            PartCrash crash = new PartCrash(
                    new ServiceName(value), Long.parseUnsignedLong(key[2], 16), new TargetId(key[3]), fact.version());
            record.crashed(crash, nowMs + settings.lifetimeMs());
            quarantineCulprits(nowMs, out);
        } else {
            stateReceived(part, record, fact.version(), value, nowMs, out);
        }
        evictExcess();
    }

    private void stateReceived(
            long part, PromptPartRecord record, long version, String value, long nowMs, Effects out) {
        if (!record.isNewer(version)) {
            return;
        }
        boolean before = record.quarantined();
        if (value.equals(CLEARED)) {
            record.clear(version);
        } else {
            int trials = Integer.parseInt(value);
            record.quarantine(version, trials, nowMs + trialDelayMs(part, trials));
        }
        record.keepUntil(nowMs + settings.lifetimeMs() / 2, nowMs + settings.lifetimeMs());
        if (before != record.quarantined()) {
            String text = "prompt part " + hex(part)
                    + (before
                            ? " released from quarantine"
                            : " quarantined after " + record.crashes().size() + " signs of crashes");
            out.add(new Effect.StateChanged(RoutingStateMachine.NAME, text));
        }
    }

    /**
     * Returns how long after the last trial this daemon may begin the next one. Each daemon has a time of its own, so
     * that the others hear of a trial before theirs.
     */
    private long trialDelayMs(long part, int trials) {
        List<HostId> daemons = RendezvousHash.rank(
                hex(part), membership.members().stream().map(Member::host).toList(), HostId::value);
        long spreadMs = settings.trialSpreadMs() * Math.max(0, daemons.indexOf(self)) / Math.max(1, daemons.size());
        double growth = Math.pow(settings.trialFactor(), trials);
        return (long) Math.min(settings.lifetimeMs(), growth * (settings.firstTrialMs() + spreadMs));
    }

    private void evictExcess() {
        while (records.size() > MAX_PARTS) {
            long oldest = records.entrySet().stream()
                    .min(Map.Entry.comparingByValue(Comparator.comparingLong(PromptPartRecord::expiresAtMs)))
                    .orElseThrow()
                    .getKey();
            records.remove(oldest);
        }
    }

    void expire(long nowMs) {
        records.values().removeIf(record -> nowMs >= record.expiresAtMs());
        ownCrashes.removeIf(crash -> nowMs - crash.atMs() > settings.lifetimeMs());
    }

    /** Returns the parts that are quarantined now, ordered by hash. */
    List<QuarantineListed.Entry> quarantine() {
        List<QuarantineListed.Entry> entries = new ArrayList<>();
        records.forEach((part, record) -> {
            if (record.quarantined()) {
                entries.add(new QuarantineListed.Entry(
                        part, record.crashedTargets(), record.latestCrashMs(), record.expiresAtMs()));
            }
        });
        return entries;
    }

    Map<Long, PromptPartRecord> records() {
        return records;
    }

    private static String hex(long hash) {
        return Long.toHexString(hash);
    }
}
