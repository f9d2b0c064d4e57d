package org.cornelcrank.server.settings;

import java.util.List;

/**
 * Result of parsing settings.
 *
 * <p>Immutable, thus thread-safe.
 *
 * @param <S> the type of the settings
 */
public sealed interface SettingsResult<S> {

    /** The settings are valid. */
    record Valid<S>(S settings) implements SettingsResult<S> {}

    /** The help was requested. */
    record HelpRequested<S>(String text) implements SettingsResult<S> {}

    /** The settings are invalid; each error states the flag and what is allowed. */
    record Invalid<S>(List<String> errors) implements SettingsResult<S> {
        public Invalid {
            errors = List.copyOf(errors);
        }
    }
}
