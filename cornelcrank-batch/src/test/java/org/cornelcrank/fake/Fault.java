package org.cornelcrank.fake;

import java.util.function.Predicate;

import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.PeerMessage;

/** Faults that strike the owner of a partition, e1 or e2; the other one takes over where somebody has to. */
public enum Fault {
    CRASH,
    CRASH_AND_RESTART,
    CRASH_AFTER_APPEND,
    PAUSE_ACROSS_CLAIM,
    PAUSE_ACROSS_CLAIM_AFTER_APPEND,
    HAND_OVER,
    HAND_OVER_AND_BACK,
    LOST_ANSWERS,
    OUTAGE;

    private static final String FIRST = "e1";
    private static final String SECOND = "e2";

    private static final long PAUSE_MS = 1_200;
    private static final long OUTAGE_MS = 3_000;

    /** Brings the fault about; {@code answers} tells which messages a loss of answers takes. */
    public void strike(FakeCluster cluster, PartitionId partition, Predicate<PeerMessage> answers) {
        String owner = cluster.owner(partition);
        String successor = owner.equals(FIRST) ? SECOND : FIRST;
        switch (this) {
            case CRASH -> {
                cluster.crash(owner);
                cluster.own(partition, successor);
                cluster.start(owner);
            }
            case CRASH_AND_RESTART -> {
                cluster.crash(owner);
                cluster.start(owner);
                cluster.own(partition, owner);
            }
            case CRASH_AFTER_APPEND -> {
                cluster.crashAfterAppend(owner);
                cluster.own(partition, successor);
                cluster.start(owner);
            }
            case PAUSE_ACROSS_CLAIM -> pauseAcrossClaim(cluster, partition, owner, successor);
            case PAUSE_ACROSS_CLAIM_AFTER_APPEND -> {
                cluster.pause(owner);
                cluster.appendPending();
                pauseAcrossClaim(cluster, partition, owner, successor);
            }
            case HAND_OVER -> cluster.own(partition, successor);
            case HAND_OVER_AND_BACK -> {
                cluster.own(partition, successor);
                cluster.own(partition, owner);
            }
            case LOST_ANSWERS -> {
                cluster.dropMessages(answers);
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
        cluster.own(partition, successor);
        cluster.after(PAUSE_MS, () -> cluster.resume(owner));
    }
}
