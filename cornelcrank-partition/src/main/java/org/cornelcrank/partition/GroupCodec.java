package org.cornelcrank.partition;

import java.util.Optional;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.partition.wire.Group;

/**
 * Turns groups into the compressed payloads of log records and back.
 *
 * <p>Stateless, thus thread-safe.
 */
final class GroupCodec {

    /** Bounds what a payload may unpack to, against damaged or foreign records. */
    static final int MAX_GROUP_BYTES = 4 * 1024 * 1024;

    private static final int COMPRESSION_LEVEL = 3;

    private GroupCodec() {}

    static ByteString encode(Group group) {
        return ByteString.copyFrom(Zstd.compress(group.toByteArray(), COMPRESSION_LEVEL));
    }

    /** Returns the group of a payload, empty if the payload is none. */
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
