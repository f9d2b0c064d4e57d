package org.cornelcrank.routing;

import java.util.Optional;

import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.ResumePoint;

/**
 * One item to run under a permit.
 *
 * <p>{@code resume} refers to a generation that the target has kept from an interrupted run; a target that no longer
 * has it starts from the first token. Immutable, thus thread-safe.
 */
public record BatchWork(
        String itemId, long fingerprint, DispatchSource source, Optional<ResumePoint> resume, long timeoutMs) {}
