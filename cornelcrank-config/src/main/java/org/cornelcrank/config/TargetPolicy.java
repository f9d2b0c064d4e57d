package org.cornelcrank.config;

import org.cornelcrank.core.TargetId;

/**
 * What the settings say of one target.
 *
 * <p>{@code slots} is zero where the target's own report decides. Immutable, thus thread-safe.
 */
public record TargetPolicy(TargetId target, int slots, boolean checksFencing, boolean draining, String role) {}
