package org.cornelcrank.partition;

import java.util.LinkedHashMap;
import java.util.Map;

import org.cornelcrank.core.StreamName;
import org.cornelcrank.partition.wire.Group;

/**
 * An LRU cache of decoded groups.
 *
 * <p>Invariant: the serialized size of all cached groups is at most {@code maxBytes}. Not thread-safe: confined to the
 * daemon's event loop.
 */
final class GroupCache {

    private record Key(StreamName stream, long offset) {}

    private final int maxBytes;
    private final LinkedHashMap<Key, Group> groups = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    GroupCache(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the group at the offset, null if it is not cached. */
    Group get(StreamName stream, long offset) {
        return groups.get(new Key(stream, offset));
    }

    void put(StreamName stream, long offset, Group group) {
        if (group.getSerializedSize() > maxBytes) {
            return;
        }
        Group previous = groups.put(new Key(stream, offset), group);
        bytes += group.getSerializedSize() - (previous == null ? 0 : previous.getSerializedSize());
        while (bytes > maxBytes) {
            Map.Entry<Key, Group> eldest = groups.entrySet().iterator().next();
            bytes -= eldest.getValue().getSerializedSize();
            groups.remove(eldest.getKey());
        }
    }

    long bytes() {
        return bytes;
    }
}
