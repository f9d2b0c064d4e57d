package org.cornelcrank.routing;

import java.util.OptionalDouble;
import java.util.Set;

import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.LoadedModel;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;

/**
 * Holds the state of one target as this daemon sees it.
 *
 * <p>The load is the occupancy that the controller published last, adjusted for the attempts that this daemon has
 * dispatched and ended since. Not thread-safe: confined to the daemon's event loop.
 */
final class TargetState {

    private final TargetId id;
    private final TargetHealth health;
    private final TargetPath path = new TargetPath();
    private final PrefixCacheView cache = new PrefixCacheView();
    private HostEntry entry;
    private TargetReport report;
    private TargetOccupancy lastOccupancy;
    private long occupancyReceivedAtMs;
    private int ownChangeSinceOccupancy;
    private int ownAttempts;
    private long leavingUntilMs;
    private RateLimitRecord rateLimit = RateLimitRecord.NONE;

    TargetState(HostEntry entry, TargetHealth health) {
        this.id = new TargetId(entry.name());
        this.entry = entry;
        this.health = health;
    }

    TargetId id() {
        return id;
    }

    /** Returns the incarnation that the host list states, zero if it states none. */
    long incarnation() {
        return entry.incarnation();
    }

    Set<ServiceName> services() {
        return entry.services();
    }

    SoftwareVersion softwareVersion() {
        return entry.softwareVersion();
    }

    String address() {
        return entry.address();
    }

    Location location() {
        return entry.location();
    }

    TargetHealth health() {
        return health;
    }

    TargetPath path() {
        return path;
    }

    PrefixCacheView cache() {
        return cache;
    }

    TargetReport report() {
        return report;
    }

    void listed(HostEntry newEntry) {
        entry = newEntry;
    }

    void reported(TargetReport newReport) {
        if (report == null || newReport.measuredAtMs() >= report.measuredAtMs()) {
            report = newReport;
        }
    }

    /** Updates the occupancy from the controller, which counts this daemon's own requests as well. */
    void occupancyReceived(TargetOccupancy occupancy, long nowMs) {
        lastOccupancy = occupancy;
        occupancyReceivedAtMs = nowMs;
        ownChangeSinceOccupancy = 0;
    }

    /** Records that the last occupancy already counts a request which is about to be dispatched. */
    void countedBeforeDispatch() {
        ownChangeSinceOccupancy--;
    }

    void leavingPublished(long untilMs) {
        leavingUntilMs = Math.max(leavingUntilMs, untilMs);
    }

    long leavingUntilMs() {
        return leavingUntilMs;
    }

    /** Returns whether the host list or the target's own report marks it as leaving. */
    boolean listedOrReportedLeaving() {
        return entry.leaving() || report != null && report.leaving();
    }

    boolean leaving(long nowMs) {
        return listedOrReportedLeaving() || nowMs < leavingUntilMs;
    }

    /** Returns the rate of requests that the target accepts from all daemons together, empty if it has no limit. */
    OptionalDouble maxRequestsPerSecond() {
        return rateLimit.maxRequestsPerSecond();
    }

    RateLimitRecord rateLimit() {
        return rateLimit;
    }

    void limitRate(RateLimitRecord newRateLimit) {
        rateLimit = newRateLimit;
    }

    boolean offers(ServiceName service) {
        return entry.services().contains(service) || LoadedModel.isAmong(loadedNames(), service);
    }

    /**
     * Returns whether the target can serve the service without loading a model; true as well if its loaded models are
     * unknown.
     */
    boolean hasLoaded(ServiceName service) {
        Set<String> loaded = loadedNames();
        return loaded.isEmpty() || LoadedModel.isAmong(loaded, service);
    }

    private Set<String> loadedNames() {
        if (report != null && !report.loaded().isEmpty()) {
            return report.loaded();
        }
        return lastOccupancy == null ? Set.of() : lastOccupancy.loaded();
    }

    void attemptDispatched() {
        ownAttempts++;
        ownChangeSinceOccupancy++;
    }

    void attemptEnded() {
        ownAttempts--;
        ownChangeSinceOccupancy--;
    }

    int ownAttempts() {
        return ownAttempts;
    }

    int slots(int unreportedSlots) {
        if (lastOccupancy != null) {
            return Math.max(1, lastOccupancy.slots());
        }
        return report != null && report.slots() > 0 ? report.slots() : unreportedSlots;
    }

    int inUse(long nowMs, long staleMs) {
        return occupancyFresh(nowMs, staleMs)
                ? Math.max(ownAttempts, lastOccupancy.running() + ownChangeSinceOccupancy - endedSinceOccupancy(nowMs))
                : ownAttempts;
    }

    /**
     * Estimates how many requests have ended since the occupancy of a full target was received, from the expected wait
     * that came with it.
     */
    private int endedSinceOccupancy(long nowMs) {
        if (lastOccupancy.expectedWaitMs() <= 0) {
            return 0;
        }
        return (int) ((nowMs - occupancyReceivedAtMs) * (lastOccupancy.waiting() + 1) / lastOccupancy.expectedWaitMs());
    }

    int waiting(long nowMs, long staleMs) {
        return occupancyFresh(nowMs, staleMs) ? Math.max(0, lastOccupancy.waiting() - endedSinceOccupancy(nowMs)) : 0;
    }

    long expectedWaitMs(long nowMs, long staleMs) {
        return occupancyFresh(nowMs, staleMs)
                ? Math.max(0, lastOccupancy.expectedWaitMs() - (nowMs - occupancyReceivedAtMs))
                : 0;
    }

    int reportedLoad() {
        return report == null ? 0 : report.running() + report.queued();
    }

    private boolean occupancyFresh(long nowMs, long staleMs) {
        return lastOccupancy != null && nowMs - occupancyReceivedAtMs < staleMs;
    }
}
