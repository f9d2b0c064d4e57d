package org.cornelcrank.core;

import java.util.Locale;
import java.util.Optional;

/** Ranks requests, most urgent first. */
public enum Urgency {
    /** Somebody stands waiting: kiosk, counter and dispatcher requests. */
    IMMEDIATE,
    /** Somebody will look at the answer soon. */
    INTERACTIVE,
    /** Due hours later; yields to all others. */
    BATCH;

    /** Returns whether this urgency goes before the other. */
    public boolean precedes(Urgency other) {
        return ordinal() < other.ordinal();
    }

    /** Returns the name used in settings and on the wire. */
    public String settingName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the urgency of a setting's text, empty if there is none of that name. */
    public static Optional<Urgency> ofSettingName(String text) {
        for (Urgency urgency : values()) {
            if (urgency.settingName().equals(text)) {
                return Optional.of(urgency);
            }
        }
        return Optional.empty();
    }
}
