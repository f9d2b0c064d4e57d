package org.cornelcrank.core;

import java.util.Locale;
import java.util.Optional;

/** The urgency of a request, ordered from most to least urgent. */
public enum Urgency {
    /** Someone is waiting for the response, as at a kiosk, a counter or a dispatch desk. */
    IMMEDIATE,
    /** Someone will read the response soon. */
    INTERACTIVE,
    /** Due in hours; yields to all other requests. */
    BATCH;

    /** Returns whether this urgency is higher than the other. */
    public boolean precedes(Urgency other) {
        return ordinal() < other.ordinal();
    }

    /** Returns the name used in settings and on the wire. */
    public String settingName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the urgency with the given setting name, empty if there is none. */
    public static Optional<Urgency> ofSettingName(String text) {
        for (Urgency urgency : values()) {
            if (urgency.settingName().equals(text)) {
                return Optional.of(urgency);
            }
        }
        return Optional.empty();
    }
}
