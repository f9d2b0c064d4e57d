package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.ResumePoint;

/**
 * An item that waits for a permit, or runs under one.
 *
 * <p>{@code attempts} counts failed attempts that may have run; {@code refusals} those that no target began. Immutable,
 * thus thread-safe.
 */
record WaitingItem(int number, ItemLine line, int attempts, int refusals, Optional<ResumePoint> resume) {

    int bytes() {
        return line.body().size() + line.customId().length();
    }

    WaitingItem afterPreemption(Optional<ResumePoint> kept) {
        return new WaitingItem(number, line, attempts, refusals, kept);
    }

    WaitingItem afterFailure() {
        return new WaitingItem(number, line, attempts + 1, refusals, Optional.empty());
    }

    WaitingItem afterRefusal() {
        return new WaitingItem(number, line, attempts, refusals + 1, Optional.empty());
    }
}
