package org.cornelcrank.core;

import java.util.Optional;

/**
 * Identifies a team or one of its workloads by its path in the settings, such as {@code /nilavu/kiosk}.
 *
 * <p>Invariant: starts with a slash and has at least one segment, each of which is a well-formed name. Immutable, thus
 * thread-safe.
 */
public record TeamPath(String value) implements Comparable<TeamPath> {

    public TeamPath {
        if (value == null || !value.startsWith("/") || value.length() < 2 || value.endsWith("/")) {
            throw new IllegalArgumentException(
                    "team path must look like /team or /team/workload but was '" + value + "'");
        }
        for (String segment : value.substring(1).split("/", -1)) {
            Names.requireName(segment, "segment of team path");
        }
    }

    /** Returns the first segment, which names the team that owns the subtree. */
    public String team() {
        return value.substring(1).split("/", 2)[0];
    }

    /** Returns the parent path, empty for a team. */
    public Optional<TeamPath> parent() {
        int slash = value.lastIndexOf('/');
        return slash == 0 ? Optional.empty() : Optional.of(new TeamPath(value.substring(0, slash)));
    }

    /** Returns whether the other path is equal to this one or below it. */
    public boolean contains(TeamPath other) {
        return other.value.equals(value) || other.value.startsWith(value + "/");
    }

    @Override
    public int compareTo(TeamPath other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
