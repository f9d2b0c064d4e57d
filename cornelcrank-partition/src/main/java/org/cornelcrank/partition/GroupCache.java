package org.cornelcrank.partition;

import java.util.LinkedHashMap;
import java.util.Map;

import org.cornelcrank.core.StreamName;
import org.cornelcrank.partition.wire.Group;

/**
 * Keeps the decoded groups that were used last.
 *
 * <p>Invariant: the kept groups have at most {@code maxBytes} bytes in all. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class GroupCache {

    private record Key(StreamName stream, long offset) {}

    private final int maxBytes;
    private final LinkedHashMap<Key, Group> groups = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    GroupCache(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the group at the offset, null if it is not kept. */
    Group get(StreamName stream, long offset) {
        return groups.get(new Key(stream, offset));
    }

    void put(StreamName stream, long offset, Group group) {
        if (group.getSerializedSize() > maxBytes) {
            return;
        }
        Group before = groups.put(new Key(stream, offset), group);
        bytes += group.getSerializedSize() - (before == null ? 0 : before.getSerializedSize());
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
