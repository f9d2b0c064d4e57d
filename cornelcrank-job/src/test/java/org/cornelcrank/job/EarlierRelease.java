package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.job.wire.WireItem;
import org.cornelcrank.job.wire.WireJob;
import org.cornelcrank.job.wire.WireJobPart;

/**
 * Encodes jobs as earlier releases did: parts state no form and have the same keys whatever they hold, and the headers of
 * an item are in any order, here in the opposite one.
 *
 * <p>Stateless, thus thread-safe.
 */
final class EarlierRelease {

    private static final int PART_OVERHEAD_BYTES = 1_024;

    private EarlierRelease() {}

    static List<KeyedRecord> encode(JobId job, JobContent content, int maxRecordBytes) {
        WireJob.Builder wire = WireJob.newBuilder().setHost(content.host());
        content.items()
                .forEach(item -> wire.addItems(WireItem.newBuilder()
                        .setId(item.id())
                        .setPath(item.path())
                        .putAllHeaders(reversed(item.headers()))
                        .setBody(item.body())
                        .setTokens(item.tokens())));
        ByteString deflated = StoredText.deflate(wire.build().toByteString());
        int partBytes = maxRecordBytes - PART_OVERHEAD_BYTES;
        int parts = Math.max(1, (deflated.size() + partBytes - 1) / partBytes);
        WireJobPart head = WireJobPart.newBuilder()
                .setParts(parts)
                .setItems(content.items().size())
                .build();
        List<KeyedRecord> records = new ArrayList<>();
        records.add(new KeyedRecord(JobRecords.headKey(job), head.toByteString()));
        for (int i = 0; i < parts; i++) {
            ByteString part = deflated.substring(i * partBytes, Math.min(deflated.size(), (i + 1) * partBytes));
            records.add(new KeyedRecord(
                    JobRecords.partKey(job, i),
                    head.toBuilder().setIndex(i).setContent(part).build().toByteString()));
        }
        return records;
    }

    private static Map<String, String> reversed(Map<String, String> headers) {
        List<String> names = new ArrayList<>(headers.keySet());
        Map<String, String> reversed = new LinkedHashMap<>();
        for (int i = names.size() - 1; i >= 0; i--) {
            reversed.put(names.get(i), headers.get(names.get(i)));
        }
        return reversed;
    }
}
