package org.cornelcrank.config;

import java.util.List;

import org.cornelcrank.core.CallerReply;

/**
 * Lists settings; {@code version} is that of the newest change known to the daemon, to go on watching from.
 *
 * <p>Immutable, thus thread-safe.
 */
public record SettingList(List<SettingEntry> entries, long version) implements CallerReply {

    public SettingList {
        entries = List.copyOf(entries);
    }
}
