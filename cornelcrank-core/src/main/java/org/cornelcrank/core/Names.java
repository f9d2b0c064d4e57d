package org.cornelcrank.core;

import java.util.regex.Pattern;

/**
 * Validates the text of identifiers.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class Names {

    public static final int MAX_LENGTH = 200;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:-]+");

    private Names() {}

    /** Returns whether the text is a well-formed name. */
    public static boolean isName(String value) {
        return value != null
                && value.length() <= MAX_LENGTH
                && NAME.matcher(value).matches();
    }

    /**
     * Returns the value if it is a well-formed name.
     *
     * @throws IllegalArgumentException if it is empty, too long or contains any other character
     */
    public static String requireName(String value, String label) {
        if (!isName(value)) {
            throw new IllegalArgumentException(label + " must be 1 to " + MAX_LENGTH
                    + " letters, digits or any of . _ : - but was '" + value + "'");
        }
        return value;
    }
}
