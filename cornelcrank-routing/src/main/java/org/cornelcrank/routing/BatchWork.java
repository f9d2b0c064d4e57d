package org.cornelcrank.routing;

import java.util.Optional;
import java.util.OptionalLong;

import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.ResumePoint;

/**
 * One item to run under a permit.
 *
 * <p>{@code fingerprint} is the hash by which work that crashes its targets is recognised, empty if the work cannot be
 * the cause of a crash: such work neither becomes a suspect nor is quarantined. {@code resume} refers to a generation
 * that the target has kept from an interrupted run; a target that no longer has it starts from the first token.
 * Immutable, thus thread-safe.
 */
public record BatchWork(
        String itemId, OptionalLong fingerprint, DispatchSource source, Optional<ResumePoint> resume, long timeoutMs) {}
