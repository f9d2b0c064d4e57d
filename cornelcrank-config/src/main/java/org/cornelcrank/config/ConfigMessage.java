package org.cornelcrank.config;

import java.util.List;

import org.cornelcrank.core.PeerMessage;

/**
 * What daemons tell each other about settings.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface ConfigMessage extends PeerMessage {

    /** Asks for the entries above a version; answered by a daemon that knows the settings whole. */
    record ChangesRequest(long afterVersion) implements ConfigMessage {}

    /**
     * Gives entries above a version, oldest first, deletions included.
     *
     * <p>With {@code complete}, they are all that the sender knows, and it knows all up to {@code upToVersion}; otherwise
     * more follow after that version.
     */
    record Changes(long afterVersion, long upToVersion, boolean complete, List<SettingEntry> entries)
            implements ConfigMessage {

        public Changes {
            entries = List.copyOf(entries);
        }
    }
}
