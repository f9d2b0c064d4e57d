package org.cornelcrank.server.settings;

import java.util.List;

/**
 * What came of parsing settings.
 *
 * <p>Immutable, thus thread-safe.
 *
 * @param <S> the type of the settings
 */
public sealed interface SettingsResult<S> {

    /** The settings are good. */
    record Valid<S>(S settings) implements SettingsResult<S> {}

    /** The help was asked for. */
    record HelpRequested<S>(String text) implements SettingsResult<S> {}

    /** The settings are bad; each error names the flag and what is allowed. */
    record Invalid<S>(List<String> errors) implements SettingsResult<S> {
        public Invalid {
            errors = List.copyOf(errors);
        }
    }
}
