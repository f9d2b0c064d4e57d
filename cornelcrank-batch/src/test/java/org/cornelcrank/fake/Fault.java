package org.cornelcrank.fake;

import java.util.function.Predicate;

import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.PeerMessage;

/** Faults of the daemon that owns a partition, e1 or e2; the other one becomes the owner if necessary. */
public enum Fault {
    CRASH,
    CRASH_AND_RESTART,
    CRASH_AFTER_APPEND,
    PAUSE_ACROSS_CLAIM,
    PAUSE_ACROSS_CLAIM_AFTER_APPEND,
    HANDOVER,
    HANDOVER_AND_BACK,
    LOST_REPLIES,
    OUTAGE;

    private static final String FIRST = "e1";
    private static final String SECOND = "e2";

    private static final long PAUSE_MS = 1_200;
    private static final long OUTAGE_MS = 3_000;

    /** Injects the fault; {@code replies} matches the messages that {@link #LOST_REPLIES} drops. */
    public void inject(FakeCluster cluster, PartitionId partition, Predicate<PeerMessage> replies) {
        String owner = cluster.owner(partition);
        String successor = owner.equals(FIRST) ? SECOND : FIRST;
        switch (this) {
            case CRASH -> {
                cluster.crash(owner);
                cluster.assign(partition, successor);
                cluster.start(owner);
            }
            case CRASH_AND_RESTART -> {
                cluster.crash(owner);
                cluster.start(owner);
                cluster.assign(partition, owner);
            }
            case CRASH_AFTER_APPEND -> {
                cluster.crashAfterAppend(owner);
                cluster.assign(partition, successor);
                cluster.start(owner);
            }
            case PAUSE_ACROSS_CLAIM -> pauseAcrossClaim(cluster, partition, owner, successor);
            case PAUSE_ACROSS_CLAIM_AFTER_APPEND -> {
                cluster.pause(owner);
                cluster.appendPending();
                pauseAcrossClaim(cluster, partition, owner, successor);
            }
            case HANDOVER -> cluster.assign(partition, successor);
            case HANDOVER_AND_BACK -> {
                cluster.assign(partition, successor);
                cluster.assign(partition, owner);
            }
            case LOST_REPLIES -> {
                cluster.dropMessages(replies);
                cluster.after(PAUSE_MS, () -> cluster.dropMessages(message -> false));
            }
            case OUTAGE -> {
                cluster.stopLog();
                cluster.after(OUTAGE_MS, cluster::startLog);
            }
            default -> throw new IllegalArgumentException("fault must be known but was " + this);
        }
    }

    private static void pauseAcrossClaim(FakeCluster cluster, PartitionId partition, String owner, String successor) {
        cluster.pause(owner);
        cluster.assign(partition, successor);
        cluster.after(PAUSE_MS, () -> cluster.resume(owner));
    }
}
