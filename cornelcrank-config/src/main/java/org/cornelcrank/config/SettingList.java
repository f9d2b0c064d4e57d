package org.cornelcrank.config;

import java.util.List;

import org.cornelcrank.core.CallerReply;

/**
 * A list of settings; {@code version} is that of the newest change at the daemon, from which a watch can continue.
 *
 * <p>Immutable, thus thread-safe.
 */
public record SettingList(List<SettingEntry> entries, long version) implements CallerReply {

    public SettingList {
        entries = List.copyOf(entries);
    }
}
