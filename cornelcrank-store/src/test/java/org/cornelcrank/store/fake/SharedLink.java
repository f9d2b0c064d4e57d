package org.cornelcrank.store.fake;

import java.util.PriorityQueue;

/**
 * A link of a fixed rate in virtual time, which all open transfers share evenly.
 *
 * <p>Invariant: a closed transfer takes no further share. Not thread-safe.
 */
public final class SharedLink {

    private static final double BITS_PER_BYTE = 8;
    private static final double MS_PER_SECOND = 1_000;

    private final VirtualNodes nodes;
    private final double bytesPerMs;
    private final PriorityQueue<Transfer> open = new PriorityQueue<>();

    /** The bytes that a transfer which has been open all the time would have got. */
    private double servedBytes;

    private long servedAtMs;
    private long lastTransfer;
    private long plan;

    public SharedLink(VirtualNodes nodes, long bitsPerSecond) {
        this.nodes = nodes;
        this.bytesPerMs = bitsPerSecond / BITS_PER_BYTE / MS_PER_SECOND;
    }

    /** Starts a transfer; the action runs when its last byte has passed the link. */
    Transfer send(long bytes, Runnable passed) {
        serve();
        Transfer transfer = new Transfer(++lastTransfer, servedBytes, servedBytes + bytes, passed);
        open.add(transfer);
        planNext();
        return transfer;
    }

    /** Ends a transfer whose receiver has gone. */
    void close(Transfer transfer) {
        serve();
        if (open.remove(transfer)) {
            planNext();
        }
    }

    /** Returns the bytes of an open transfer that have passed the link. */
    double passedBytes(Transfer transfer) {
        serve();
        return servedBytes - transfer.fromBytes;
    }

    private void serve() {
        if (!open.isEmpty()) {
            double share = (nodes.nowMs() - servedAtMs) * bytesPerMs;
            servedBytes += share / open.size();
        }
        servedAtMs = nodes.nowMs();
    }

    private void planNext() {
        long number = ++plan;
        if (!open.isEmpty()) {
            double restBytes = Math.max(0, open.peek().toBytes - servedBytes) * open.size();
            nodes.later((long) Math.ceil(restBytes / bytesPerMs), () -> {
                if (number == plan) {
                    endPassed();
                }
            });
        }
    }

    private void endPassed() {
        serve();
        while (!open.isEmpty() && open.peek().toBytes <= servedBytes + 1) {
            open.remove().passed.run();
        }
        planNext();
    }

    /** One transfer, by the served bytes at which it began and at which it ends. */
    static final class Transfer implements Comparable<Transfer> {

        private final long number;
        private final double fromBytes;
        private final double toBytes;
        private final Runnable passed;

        private Transfer(long number, double fromBytes, double toBytes, Runnable passed) {
            this.number = number;
            this.fromBytes = fromBytes;
            this.toBytes = toBytes;
            this.passed = passed;
        }

        @Override
        public int compareTo(Transfer other) {
            return toBytes != other.toBytes
                    ? Double.compare(toBytes, other.toBytes)
                    : Long.compare(number, other.number);
        }
    }
}
