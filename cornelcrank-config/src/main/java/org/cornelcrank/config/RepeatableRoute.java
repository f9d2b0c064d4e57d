package org.cornelcrank.config;

/**
 * Names calls of a plain service that may be repeated; {@code *} as method or at the end of the path stands for any.
 *
 * <p>Immutable, thus thread-safe.
 */
public record RepeatableRoute(String method, String pathPattern) {

    /** Returns whether a call with this method and path below the service's prefix may be repeated. */
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
