package org.cornelcrank.config;

import java.util.Collection;
import java.util.Optional;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;

/**
 * Shows the settings in force at this daemon.
 *
 * <p>Invariant: no path ever goes back to an older version. Not thread-safe: confined to the daemon's event loop.
 */
public interface Settings {

    /** Returns the log offset up to which this daemon knows all changes. */
    long version();

    /** Returns whether the settings are complete enough to serve with. */
    boolean ready();

    /** Returns what holds for a team or workload, empty if nothing is set for its team. */
    Optional<TeamPolicy> team(TeamPath team);

    /** Returns the teams and workloads that have settings of their own. */
    Collection<TeamPath> teams();

    /** Returns what holds for a service, empty if the settings do not name it. */
    Optional<ServicePolicy> service(ServiceName service);

    /** Returns the services that the settings name. */
    Collection<ServiceName> services();

    /** Returns what holds for a target; defaults where the settings do not name it. */
    TargetPolicy target(TargetId target);

    /** Returns the key of an id, empty if there is none or it has been removed. */
    Optional<ApiKeyEntry> apiKey(String keyId);

    /** Registers a listener that is told of each change in force; called before the daemon starts. */
    void subscribe(SettingsListener listener);

    /** Is told that some setting changed. */
    interface SettingsListener {
        void settingsChanged(long nowMs, Effects out);
    }
}
