package org.cornelcrank.routing;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;

/**
 * The targets that a request may still use: none that is excluded, and only those of the version that began its stream.
 *
 * <p>{@code version} is empty for a request whose stream has not begun. Immutable, thus thread-safe.
 */
record TargetFilter(Set<TargetId> excluded, Optional<SoftwareVersion> version) {

    TargetFilter {
        excluded = Set.copyOf(excluded);
    }

    boolean admits(TargetState target) {
        return !excluded.contains(target.id())
                && (version.isEmpty() || version.get().equals(target.softwareVersion()));
    }

    TargetFilter without(TargetId target) {
        Set<TargetId> more = new TreeSet<>(excluded);
        more.add(target);
        return new TargetFilter(more, version);
    }
}
