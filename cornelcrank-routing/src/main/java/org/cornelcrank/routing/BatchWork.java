package org.cornelcrank.routing;

import java.util.Optional;

import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.ResumePoint;

/**
 * One item's run under a permit.
 *
 * <p>{@code resume} names a generation that the target keeps from a run that was cut short; a target that no longer has
 * it begins anew. Immutable, thus thread-safe.
 */
public record BatchWork(
        String itemId, long fingerprint, DispatchSource source, Optional<ResumePoint> resume, long timeoutMs) {}
