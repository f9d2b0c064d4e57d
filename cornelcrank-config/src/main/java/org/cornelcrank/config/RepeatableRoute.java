package org.cornelcrank.config;

/**
 * Calls of a plain service that may be retried; {@code *} as the method or at the end of the path matches anything.
 *
 * <p>Immutable, thus thread-safe.
 */
public record RepeatableRoute(String method, String pathPattern) {

    /** Returns whether a call may be retried; {@code path} is relative to the service's prefix. */
    public boolean matches(String callMethod, String path) {
        if (!method.equals("*") && !method.equalsIgnoreCase(callMethod)) {
            return false;
        }
        if (pathPattern.endsWith("*")) {
            return path.startsWith(pathPattern.substring(0, pathPattern.length() - 1));
        }
        return pathPattern.equals(path);
    }
}
