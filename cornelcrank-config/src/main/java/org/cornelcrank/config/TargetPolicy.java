package org.cornelcrank.config;

import org.cornelcrank.core.TargetId;

/**
 * The settings of one target.
 *
 * <p>{@code slots} is zero if the number that the target reports applies. Immutable, thus thread-safe.
 */
public record TargetPolicy(TargetId target, int slots, boolean checksFencing, boolean draining, String role) {}
