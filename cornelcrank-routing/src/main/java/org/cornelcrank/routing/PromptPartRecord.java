package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;

/**
 * Records the crashes under requests whose prompts have a certain part, and whether the part is quarantined.
 *
 * <p>Invariants: holds no crash from before the part was last cleared; the state with the highest version applies. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class PromptPartRecord {

    private static final int NOT_QUARANTINED = -1;

    private final Set<PartCrash> crashes = new LinkedHashSet<>();
    private long stateVersion;
    private long clearedAtMs = Long.MIN_VALUE;
    private int trials = NOT_QUARANTINED;
    private long trialAtMs;
    private long renewAtMs;
    private long expiresAtMs;
    private int successesWithout;
    private int arrivedWith;
    private int arrivedWithout;

    /** Adds a crash, unless the part has been cleared since. */
    void crashed(PartCrash crash, long newExpiresAtMs) {
        if (crash.atMs() > clearedAtMs && crashes.add(crash)) {
            expiresAtMs = Math.max(expiresAtMs, newExpiresAtMs);
        }
    }

    /** Applies a quarantine of which {@code newTrials} trials have begun; the next one may begin at a later time. */
    void quarantine(long version, int newTrials, long newTrialAtMs) {
        stateVersion = version;
        if (newTrials != trials) {
            trialAtMs = newTrialAtMs;
        }
        trials = newTrials;
    }

    /** Lifts a quarantine and forgets the crashes before; the version is the time in ms. */
    void clear(long version) {
        stateVersion = version;
        clearedAtMs = version;
        trials = NOT_QUARANTINED;
        successesWithout = 0;
        arrivedWith = 0;
        arrivedWithout = 0;
        crashes.removeIf(crash -> crash.atMs() <= clearedAtMs);
    }

    /** Returns whether a state is newer than the one that applies. */
    boolean isNewer(long version) {
        return version > stateVersion;
    }

    /** Sets when a quarantine is published again while it is needed, and when the record expires. */
    void keepUntil(long newRenewAtMs, long newExpiresAtMs) {
        renewAtMs = newRenewAtMs;
        expiresAtMs = newExpiresAtMs;
    }

    /** Counts a request of the service without the part that succeeded since the first crash. */
    void succeededWithout(ServiceName service) {
        if (crashes.stream().anyMatch(crash -> crash.service().equals(service))) {
            successesWithout++;
        }
    }

    /** Counts a request that arrived since the first crash. */
    void arrived(boolean withPart) {
        if (withPart) {
            arrivedWith++;
        } else {
            arrivedWithout++;
        }
    }

    /** Returns whether a crash is one of those under the part. */
    boolean includes(PartCrash other, long windowMs) {
        return crashes.stream().anyMatch(crash -> crash.sameCrash(other, windowMs));
    }

    boolean accused() {
        return quarantined() || !crashes.isEmpty();
    }

    boolean quarantined() {
        return trials != NOT_QUARANTINED;
    }

    int trials() {
        return trials;
    }

    long trialAtMs() {
        return trialAtMs;
    }

    long renewAtMs() {
        return renewAtMs;
    }

    long expiresAtMs() {
        return expiresAtMs;
    }

    int successesWithout() {
        return successesWithout;
    }

    int arrivedWith() {
        return arrivedWith;
    }

    int arrivedWithout() {
        return arrivedWithout;
    }

    Collection<PartCrash> crashes() {
        return crashes;
    }

    List<TargetId> crashedTargets() {
        return crashes.stream().map(PartCrash::target).distinct().sorted().toList();
    }

    long firstCrashMs() {
        return crashes.stream().mapToLong(PartCrash::atMs).min().orElse(Long.MAX_VALUE);
    }

    long latestCrashMs() {
        return crashes.stream().mapToLong(PartCrash::atMs).max().orElse(0);
    }

    /** Returns a version above that of the current state and the times of all crashes. */
    long nextVersion(long nowMs) {
        return Math.max(nowMs, Math.max(stateVersion, latestCrashMs()) + 1);
    }

    /** Returns how many targets crashed, where signs of one crash count once. */
    static int countCrashes(Collection<PartCrash> signs, long windowMs) {
        List<PartCrash> separate = new ArrayList<>();
        for (PartCrash sign : signs) {
            if (separate.stream().noneMatch(crash -> crash.sameCrash(sign, windowMs))) {
                separate.add(sign);
            }
        }
        return separate.size();
    }

    /** Returns how many different requests were in flight. */
    static int countRequests(Collection<PartCrash> signs) {
        return (int) signs.stream().mapToLong(PartCrash::fingerprint).distinct().count();
    }
}
