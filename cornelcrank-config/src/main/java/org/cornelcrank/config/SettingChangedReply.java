package org.cornelcrank.config;

import java.util.Optional;

import org.cornelcrank.core.CallerReply;

/**
 * Confirms to an operator that a change is in the log and in effect.
 *
 * <p>{@code version} is the offset of the change plus 1. Immutable, thus thread-safe.
 */
public record SettingChangedReply(String path, long version, Optional<String> value) implements CallerReply {}
