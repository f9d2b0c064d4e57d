package org.cornelcrank.fake;

import java.util.function.Predicate;

import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.PeerMessage;

/** Faults that strike the owner e1 of a partition; e2 takes over where somebody has to. */
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

    private static final String OWNER = "e1";
    private static final String SUCCESSOR = "e2";
    private static final long PAUSE_MS = 1_200;
    private static final long OUTAGE_MS = 3_000;

    /** Brings the fault about; {@code answers} tells which messages a loss of answers takes. */
    public void strike(FakeCluster cluster, PartitionId partition, Predicate<PeerMessage> answers) {
        switch (this) {
            case CRASH -> {
                cluster.crash(OWNER);
                cluster.own(partition, SUCCESSOR);
            }
            case CRASH_AND_RESTART -> {
                cluster.crash(OWNER);
                cluster.start(OWNER);
                cluster.own(partition, OWNER);
            }
            case CRASH_AFTER_APPEND -> {
                cluster.crashAfterAppend(OWNER);
                cluster.own(partition, SUCCESSOR);
            }
            case PAUSE_ACROSS_CLAIM -> pauseAcrossClaim(cluster, partition);
            case PAUSE_ACROSS_CLAIM_AFTER_APPEND -> {
                cluster.pause(OWNER);
                cluster.appendPending();
                pauseAcrossClaim(cluster, partition);
            }
            case HAND_OVER -> cluster.own(partition, SUCCESSOR);
            case HAND_OVER_AND_BACK -> {
                cluster.own(partition, SUCCESSOR);
                cluster.own(partition, OWNER);
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

    private static void pauseAcrossClaim(FakeCluster cluster, PartitionId partition) {
        cluster.pause(OWNER);
        cluster.own(partition, SUCCESSOR);
        cluster.after(PAUSE_MS, () -> cluster.resume(OWNER));
    }
}
