package org.cornelcrank.partition;

import java.util.Optional;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.partition.wire.Group;

/**
 * Encodes groups as compressed payloads of log records, and decodes them.
 *
 * <p>Stateless, thus thread-safe.
 */
final class GroupCodec {

    /** Maximum size of a decompressed group; protects against corrupt or foreign records. */
    static final int MAX_GROUP_BYTES = 4 * 1024 * 1024;

    private static final int COMPRESSION_LEVEL = 3;

    private GroupCodec() {}

    static ByteString encode(Group group) {
        return ByteString.copyFrom(Zstd.compress(group.toByteArray(), COMPRESSION_LEVEL));
    }

    /** Returns the group in a payload, empty if the payload is not a valid group. */
    static Optional<Group> decode(ByteString payload) {
        byte[] compressed = payload.toByteArray();
        long size = Zstd.getFrameContentSize(compressed);
        if (size <= 0 || size > MAX_GROUP_BYTES) {
            return Optional.empty();
        }
        try {
            return Optional.of(Group.parseFrom(Zstd.decompress(compressed, (int) size)));
        } catch (ZstdException | InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }
}
