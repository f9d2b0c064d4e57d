package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.config.ConfigurationRecord.SettingChanged;
import org.cornelcrank.config.ConfigurationRecord.SnapshotPart;
import org.cornelcrank.config.wire.WireConfigurationRecord;
import org.cornelcrank.config.wire.WireSettingChanged;
import org.cornelcrank.config.wire.WireSettingEntry;
import org.cornelcrank.config.wire.WireSnapshotContent;
import org.cornelcrank.config.wire.WireSnapshotPart;
import org.cornelcrank.config.wire.WireWriterSequence;

/**
 * Encodes and decodes the records of the configuration stream.
 *
 * <p>Stateless, thus thread-safe.
 */
final class ConfigurationRecordCodec {

    private static final int MAX_CONTENT_BYTES = 16 * 1024 * 1024;

    private ConfigurationRecordCodec() {}

    static ByteString encode(ConfigurationRecord record) {
        WireConfigurationRecord.Builder wire =
                WireConfigurationRecord.newBuilder().setWriter(record.writer()).setSequence(record.sequence());
        if (record.content() instanceof SettingChanged changed) {
            wire.setChanged(WireSettingChanged.newBuilder()
                    .setPath(changed.path())
                    .setExpectedVersion(changed.expectedVersion())
                    .setDeleted(changed.value().isEmpty())
                    .setValue(changed.value().orElse("")));
        } else if (record.content() instanceof SnapshotPart part) {
            wire.setSnapshotPart(encode(part));
        }
        return wire.build().toByteString();
    }

    /**
     * Decodes a record from the payload of a log record.
     *
     * @throws InvalidProtocolBufferException if the payload is not a record of a known kind
     */
    static ConfigurationRecord decode(ByteString payload) throws InvalidProtocolBufferException {
        WireConfigurationRecord wire = WireConfigurationRecord.parseFrom(payload);
        switch (wire.getKindCase()) {
            case CHANGED:
                return new ConfigurationRecord(wire.getWriter(), wire.getSequence(), decode(wire.getChanged()));
            case SNAPSHOT_PART:
                return new ConfigurationRecord(wire.getWriter(), wire.getSequence(), decode(wire.getSnapshotPart()));
            default:
                throw new InvalidProtocolBufferException("record must hold a change or a part of a snapshot");
        }
    }

    static WireSettingEntry encode(SettingEntry entry) {
        return WireSettingEntry.newBuilder()
                .setPath(entry.path())
                .setVersion(entry.version())
                .setDeleted(entry.value().isEmpty())
                .setValue(entry.value().orElse(""))
                .build();
    }

    static SettingEntry decode(WireSettingEntry wire) {
        Optional<String> value = wire.getDeleted() ? Optional.empty() : Optional.of(wire.getValue());
        return new SettingEntry(wire.getPath(), value, wire.getVersion());
    }

    private static SettingChanged decode(WireSettingChanged wire) {
        Optional<String> value = wire.getDeleted() ? Optional.empty() : Optional.of(wire.getValue());
        return new SettingChanged(wire.getPath(), wire.getExpectedVersion(), value);
    }

    private static WireSnapshotPart encode(SnapshotPart part) {
        WireSnapshotContent.Builder content = WireSnapshotContent.newBuilder();
        part.entries().forEach(entry -> content.addEntries(encode(entry)));
        part.writers()
                .forEach((writer, sequence) -> content.addWriters(
                        WireWriterSequence.newBuilder().setWriter(writer).setSequence(sequence)));
        byte[] bytes = content.build().toByteArray();
        return WireSnapshotPart.newBuilder()
                .setCoveredBeforeOffset(part.coveredBeforeOffset())
                .setPart(part.part())
                .setParts(part.parts())
                .setContentBytes(bytes.length)
                .setCompressedContent(ByteString.copyFrom(Zstd.compress(bytes)))
                .build();
    }

    private static SnapshotPart decode(WireSnapshotPart wire) throws InvalidProtocolBufferException {
        WireSnapshotContent content = WireSnapshotContent.parseFrom(decompress(wire));
        List<SettingEntry> entries = new ArrayList<>(content.getEntriesCount());
        content.getEntriesList().forEach(entry -> entries.add(decode(entry)));
        Map<String, Long> writers = new LinkedHashMap<>();
        content.getWritersList().forEach(writer -> writers.put(writer.getWriter(), writer.getSequence()));
        return new SnapshotPart(wire.getCoveredBeforeOffset(), wire.getPart(), wire.getParts(), entries, writers);
    }

    private static byte[] decompress(WireSnapshotPart wire) throws InvalidProtocolBufferException {
        int contentBytes = wire.getContentBytes();
        if (contentBytes < 0 || contentBytes > MAX_CONTENT_BYTES) {
            throw new InvalidProtocolBufferException(
                    "snapshot content must have 0 to " + MAX_CONTENT_BYTES + " bytes but declares " + contentBytes);
        }
        try {
            return Zstd.decompress(wire.getCompressedContent().toByteArray(), contentBytes);
        } catch (ZstdException e) {
            throw new InvalidProtocolBufferException("snapshot content is corrupt: " + e.getMessage());
        }
    }
}
