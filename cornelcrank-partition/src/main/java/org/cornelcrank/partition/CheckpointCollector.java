package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.partition.wire.CheckpointPart;

/**
 * Assembles checkpoints from their parts in the order of reading.
 *
 * <p>Invariant: holds the parts of at most one checkpoint per writer. The parts of one writer arrive in order, but may
 * be repeated and interleaved with those of other writers. Not thread-safe.
 */
final class CheckpointCollector {

    private final Map<String, List<CheckpointPart>> partsByWriter = new TreeMap<>();

    /** Adds a part, and returns all parts of its checkpoint if that completes it. */
    Optional<List<CheckpointPart>> add(String writer, CheckpointPart part) {
        List<CheckpointPart> parts = partsByWriter.computeIfAbsent(writer, name -> new ArrayList<>());
        boolean differentCheckpoint = parts.isEmpty() || parts.get(0).getThroughOffset() != part.getThroughOffset();
        if (differentCheckpoint && part.getIndex() == 0) {
            parts.clear();
        }
        boolean next = part.getIndex() == parts.size() && (parts.isEmpty() || !differentCheckpoint);
        if (!next) {
            return Optional.empty();
        }
        parts.add(part);
        if (part.getIndex() + 1 < part.getCount()) {
            return Optional.empty();
        }
        return Optional.of(List.copyOf(partsByWriter.remove(writer)));
    }
}
