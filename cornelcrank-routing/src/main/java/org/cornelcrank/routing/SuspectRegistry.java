package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TargetId;

/**
 * Tracks the requests that were in flight on targets that died, and quarantines those with too many such deaths.
 *
 * <p>Each death and each clearing is a separate fact, so that the findings of different daemons merge without conflict.
 * Invariant: holds at most {@link #MAX_FINGERPRINTS} requests. Not thread-safe: confined to the daemon's event loop.
 */
final class SuspectRegistry {

    static final String DEATH_PREFIX = "death/";
    static final String CLEARED_PREFIX = "cleared/";

    private static final int MAX_FINGERPRINTS = 10_000;
    private static final int QUARANTINE_GROWTH = 3;

    private final RoutingSettings.Quarantine settings;
    private final Dissemination dissemination;
    private final PromptPartRegistry promptParts;
    private final Map<Long, SuspectRecord> records = new TreeMap<>();
    private final List<Loss> losses = new ArrayList<>();

    SuspectRegistry(RoutingSettings.Quarantine settings, Dissemination dissemination, PromptPartRegistry promptParts) {
        this.settings = settings;
        this.dissemination = dissemination;
        this.promptParts = promptParts;
    }

    /**
     * Records that a request lost its connection to a target.
     *
     * <p>A request that ran as a suspect counts as the cause at once; any other one only after the target's death is
     * confirmed by {@link #targetDown} or {@link #repeatedLoss}. The loss of a request without a fingerprint, which cannot
     * be the cause, confirms the deaths of others but never becomes one itself.
     */
    void connectionLost(TargetId target, SuspectRun run, long nowMs, Effects out) {
        losses.add(new Loss(target, run, nowMs));
        if (run.suspected()) {
            confirmAll(run, nowMs, out);
        }
    }

    private void confirmAll(SuspectRun run, long nowMs, Effects out) {
        confirm(loss -> loss.fingerprint().equals(run.fingerprint()), settings.quarantineMs(), true, nowMs, out);
    }

    /**
     * Records that a request lost its connection through a relay, which may have lost its own way to the target: it counts
     * as the cause only after the death is confirmed, also if it ran as a suspect.
     */
    void relayedConnectionLost(TargetId target, SuspectRun run, long nowMs) {
        losses.add(new Loss(target, run, nowMs));
    }

    /** Confirms the death of a target that this daemon reaches if several requests, or a suspect, have recently lost it. */
    void repeatedLoss(TargetId target, long nowMs, Effects out) {
        if (lostRepeatedly(target, nowMs)) {
            targetDown(target, nowMs, out);
        }
    }

    /** Does the same as {@link #repeatedLoss} for a target that nobody reaches, see {@link #targetDownWithOthers}. */
    void repeatedLossWithOthers(TargetId target, long nowMs, Effects out) {
        if (lostRepeatedly(target, nowMs)) {
            targetDownWithOthers(target, nowMs, out);
        }
    }

    private boolean lostRepeatedly(TargetId target, long nowMs) {
        List<Loss> recent = recentLosses(target, nowMs);
        return recent.size() > 1 || recent.stream().anyMatch(loss -> loss.run.suspected());
    }

    private List<Loss> recentLosses(TargetId target, long nowMs) {
        return losses.stream()
                .filter(loss -> loss.target.equals(target) && nowMs - loss.atMs <= settings.deathWindowMs())
                .toList();
    }

    /** Forgets the lost connections to a target that this daemon could not reach although it was not down. */
    void forgetLosses(TargetId target) {
        losses.removeIf(loss -> loss.target.equals(target));
    }

    /** Records a sign that a target is down; requests that recently lost their connection to it become suspects. */
    void targetDown(TargetId target, long nowMs, Effects out) {
        recentLosses(target, nowMs).stream()
                .filter(loss -> loss.run.suspected())
                .forEach(loss -> confirmAll(loss.run, nowMs, out));
        confirm(loss -> loss.target.equals(target), settings.deathWindowMs(), true, nowMs, out);
    }

    /**
     * Records that a target was down at a moment when no daemon that was asked reached any target: the requests become
     * suspects, but no part of their prompts is accused, as the targets may have a common cause to be down.
     */
    void targetDownWithOthers(TargetId target, long nowMs, Effects out) {
        confirm(loss -> loss.target.equals(target), settings.deathWindowMs(), false, nowMs, out);
    }

    private void confirm(Predicate<Loss> condition, long windowMs, boolean accusesParts, long nowMs, Effects out) {
        for (Loss loss : List.copyOf(losses)) {
            if (condition.test(loss) && nowMs - loss.atMs <= windowMs) {
                losses.remove(loss);
                loss.fingerprint().ifPresent(fingerprint -> {
                    publishDeath(loss, fingerprint, nowMs, out);
                    if (accusesParts) {
                        promptParts.crashed(loss.run, fingerprint, loss.target, loss.atMs, nowMs, out);
                    }
                });
            }
        }
    }

    private void publishDeath(Loss loss, long fingerprint, long nowMs, Effects out) {
        SuspectRecord record = records.get(fingerprint);
        SuspectRecord.Death before = record == null ? null : record.deaths().get(loss.target);
        int count = 1;
        if (before != null) {
            count = loss.atMs - before.atMs() > settings.deathWindowMs() ? before.count() + 1 : before.count();
        }
        out.explain(
                Subject.Kind.TARGET,
                loss.target,
                nowMs,
                "request suspected",
                Long.toHexString(fingerprint) + " was in flight when the target went down");
        publish(DEATH_PREFIX + Long.toHexString(fingerprint) + "/" + loss.target, loss.atMs, count, nowMs, out);
    }

    /** Clears a request that completed, or that an operator allows to run again. */
    void clear(long fingerprint, long nowMs, Effects out) {
        losses.removeIf(loss -> loss.isOf(fingerprint));
        SuspectRecord record = records.get(fingerprint);
        if (record == null) {
            return;
        }
        long version = Math.max(nowMs, record.latestDeathMs() + 1);
        publish(CLEARED_PREFIX + Long.toHexString(fingerprint), version, 0, nowMs, out);
    }

    private void publish(String key, long version, int count, long nowMs, Effects out) {
        ByteString value = ByteString.copyFromUtf8(Integer.toString(count));
        Fact fact = new Fact(RoutingStateMachine.NAME, key, version, value, settings.memoryMs(), Fact.Scope.EVERYWHERE);
        dissemination.publish(fact, nowMs, out);
    }

    /** Applies a finding of any daemon, including this one. */
    void factReceived(Fact fact, long nowMs, Effects out) {
        String[] parts = fact.key().split("/");
        long fingerprint = Long.parseUnsignedLong(parts[1], 16);
        SuspectRecord record = records.computeIfAbsent(fingerprint, key -> new SuspectRecord());
        boolean before = quarantined(fingerprint, nowMs);
        if (fact.key().startsWith(CLEARED_PREFIX)) {
            record.clear(fact.version(), nowMs + settings.memoryMs());
        } else {
            int count = Integer.parseInt(fact.value().toStringUtf8());
            if (record.targetDied(new TargetId(parts[2]), fact.version(), count, nowMs + settings.memoryMs())) {
                record.quarantineUntil(nowMs + quarantineMs(record.deathCount()));
            }
        }
        boolean after = quarantined(fingerprint, nowMs);
        if (before != after) {
            String text = "request " + parts[1] + (after ? " quarantined" : " released from quarantine");
            out.add(new Effect.StateChanged(RoutingStateMachine.NAME, text));
        }
        evictExcess();
    }

    private void evictExcess() {
        while (records.size() > MAX_FINGERPRINTS) {
            long oldest = records.entrySet().stream()
                    .min(Map.Entry.comparingByValue(Comparator.comparingLong(SuspectRecord::expiresAtMs)))
                    .orElseThrow()
                    .getKey();
            records.remove(oldest);
        }
    }

    void expire(long nowMs) {
        records.values().removeIf(record -> nowMs >= record.expiresAtMs());
        losses.removeIf(loss -> nowMs - loss.atMs > settings.quarantineMs());
    }

    /**
     * Returns whether the request was in flight on a target that died, or recently lost its connection to one, and has
     * not been cleared since.
     */
    boolean suspected(long fingerprint, long nowMs) {
        return deaths(fingerprint, nowMs) > 0 || lostRecently(fingerprint, nowMs);
    }

    private boolean lostRecently(long fingerprint, long nowMs) {
        return losses.stream()
                .anyMatch(loss -> loss.isOf(fingerprint) && nowMs - loss.atMs <= settings.deathWindowMs());
    }

    boolean quarantined(long fingerprint, long nowMs) {
        return deaths(fingerprint, nowMs) >= settings.deathsToQuarantine()
                && nowMs < records.get(fingerprint).quarantinedUntilMs();
    }

    /** Returns for how long the latest death quarantines a request; longer for one that crashed targets after that. */
    private long quarantineMs(int deaths) {
        double growth = Math.pow(QUARANTINE_GROWTH, Math.max(0, deaths - settings.deathsToQuarantine()));
        return (long) Math.min(settings.memoryMs(), growth * settings.quarantineMs());
    }

    private int deaths(long fingerprint, long nowMs) {
        SuspectRecord record = records.get(fingerprint);
        return record == null || nowMs >= record.expiresAtMs() ? 0 : record.deathCount();
    }

    /** Returns the requests that are quarantined now, ordered by fingerprint. */
    List<QuarantineListed.Entry> quarantine(long nowMs) {
        List<QuarantineListed.Entry> entries = new ArrayList<>();
        records.forEach((fingerprint, record) -> {
            if (quarantined(fingerprint, nowMs)) {
                entries.add(new QuarantineListed.Entry(
                        fingerprint,
                        List.copyOf(record.deaths().keySet()),
                        record.latestDeathMs(),
                        record.quarantinedUntilMs()));
            }
        });
        return entries;
    }

    Map<Long, SuspectRecord> records() {
        return records;
    }

    private record Loss(TargetId target, SuspectRun run, long atMs) {

        OptionalLong fingerprint() {
            return run.fingerprint();
        }

        boolean isOf(long other) {
            return fingerprint().isPresent() && fingerprint().getAsLong() == other;
        }
    }
}
