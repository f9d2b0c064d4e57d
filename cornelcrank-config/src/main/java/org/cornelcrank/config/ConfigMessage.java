package org.cornelcrank.config;

import java.util.List;

import org.cornelcrank.core.PeerMessage;

/**
 * Messages between daemons about settings.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface ConfigMessage extends PeerMessage {

    /** Requests the entries newer than a version; only a daemon whose settings are complete replies. */
    record ChangesRequest(long afterVersion) implements ConfigMessage {}

    /**
     * Contains the entries newer than {@code afterVersion}, oldest first, deletions included.
     *
     * <p>If {@code complete}, these are all such entries of the sender, which has all changes up to
     * {@code upToVersion}; otherwise there are further entries after {@code upToVersion}.
     */
    record Changes(long afterVersion, long upToVersion, boolean complete, List<SettingEntry> entries)
            implements ConfigMessage {

        public Changes {
            entries = List.copyOf(entries);
        }
    }
}
