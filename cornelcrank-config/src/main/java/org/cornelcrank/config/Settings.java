package org.cornelcrank.config;

import java.util.Collection;
import java.util.Optional;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;

/**
 * Provides the settings that are in effect at this daemon.
 *
 * <p>Invariant: no path ever reverts to an older version. Not thread-safe: confined to the daemon's event loop.
 */
public interface Settings {

    /** Returns the log offset up to which this daemon has all changes. */
    long version();

    /** Returns whether the settings are complete enough to serve requests. */
    boolean ready();

    /** Returns the policy of a team or workload, empty if its team has no settings or no home region. */
    Optional<TeamPolicy> team(TeamPath team);

    /** Returns the teams and workloads that have their own settings. */
    Collection<TeamPath> teams();

    /** Returns the policy of a service, empty if it has no settings. */
    Optional<ServicePolicy> service(ServiceName service);

    /** Returns the services that have settings. */
    Collection<ServiceName> services();

    /** Returns the policy of a target; the defaults if it has no settings. */
    TargetPolicy target(TargetId target);

    /** Returns the API key with the id, empty if there is none. */
    Optional<ApiKeyEntry> apiKey(String keyId);

    /** Registers a listener for changes that take effect; called before the daemon starts. */
    void subscribe(SettingsListener listener);

    /** Listener that is notified when any setting has changed. */
    interface SettingsListener {
        void settingsChanged(long nowMs, Effects out);
    }
}
