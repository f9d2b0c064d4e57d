package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.partition.wire.CheckpointPart;

/**
 * Puts the parts of checkpoints together as they are read.
 *
 * <p>Invariant: holds the parts of one checkpoint for each writer. The parts of one writer come in order, perhaps
 * repeated and mixed with those of others. Not thread-safe.
 */
final class CheckpointCollector {

    private final Map<String, List<CheckpointPart>> partsByWriter = new TreeMap<>();

    /** Adds a part, and returns all parts of its checkpoint if it is the last one that was missing. */
    Optional<List<CheckpointPart>> add(String writer, CheckpointPart part) {
        List<CheckpointPart> parts = partsByWriter.computeIfAbsent(writer, name -> new ArrayList<>());
        boolean another = parts.isEmpty() || parts.get(0).getThroughOffset() != part.getThroughOffset();
        if (another && part.getIndex() == 0) {
            parts.clear();
        }
        boolean next = part.getIndex() == parts.size() && (parts.isEmpty() || !another);
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
