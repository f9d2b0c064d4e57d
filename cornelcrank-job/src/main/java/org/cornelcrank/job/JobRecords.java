package org.cornelcrank.job;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.zip.DataFormatException;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.job.wire.WireItem;
import org.cornelcrank.job.wire.WireJob;
import org.cornelcrank.job.wire.WireJobPart;
import org.cornelcrank.job.wire.WireProgress;
import org.cornelcrank.job.wire.WireResult;

/**
 * Encodes and decodes the keys and values of jobs and their results in the store.
 *
 * <p>The {@code jobs} topic holds a job in parts under {@code id/} and a number, its number of items under {@code id/#},
 * which comes before the parts so that it can be read without them, and its end under {@code id/end}. Several daemons may
 * store the same job, each in several appends that take effect in any order. Daemons of different releases may encode it
 * differently, so the parts of each form have keys of their own and state which form they belong to. Earlier releases
 * have stored parts under {@code id/0}, {@code id/1} and so on without a form.
 *
 * <p>The {@code results} topic holds its results under {@code id/position}, and the progress of preempted items under
 * {@code id/p} followed by the item's index. All records of a job are in the same partition of both topics. Stateless,
 * thus thread-safe.
 */
final class JobRecords {

    static final String JOBS = "jobs";
    static final String RESULTS = "results";

    private static final String SEPARATOR = "/";
    private static final String HEAD = "#";
    private static final String END = "end";
    private static final String PROGRESS = "p";
    private static final int POSITION_DIGITS = 6;

    /** The limit of the parts of a form. */
    private static final int MAX_PARTS = 10_000;

    /** The number of forms whose keys differ; so many, with all their parts, have numbers below 2^31. */
    private static final int FORM_KEYS = 200_000;

    /** The space reserved for the key and the other fields of a part, in bytes. */
    private static final int PART_OVERHEAD_BYTES = 1_024;

    private JobRecords() {}

    static int partitionOf(JobId job, int partitions) {
        return (int) Long.remainderUnsigned(StableHash.of(job.value()), partitions);
    }

    static TopicPartition jobs(int partition) {
        return new TopicPartition(JOBS, partition);
    }

    static TopicPartition results(int partition) {
        return new TopicPartition(RESULTS, partition);
    }

    /** Returns the key of a part that an earlier release has stored. */
    static String partKey(JobId job, int index) {
        return prefix(job) + index;
    }

    /** Returns the key of a part; it holds a number, by which earlier releases recognize it as a part. */
    static String partKey(JobId job, long formHash, int index) {
        return partKey(job, (1 + (int) Math.floorMod(formHash, FORM_KEYS)) * MAX_PARTS + index);
    }

    /** Returns the key of the record that states the number of items. */
    static String headKey(JobId job) {
        return prefix(job) + HEAD;
    }

    static String endKey(JobId job) {
        return prefix(job) + END;
    }

    static String resultKey(JobId job, int position) {
        return prefix(job) + ("%0" + POSITION_DIGITS + "d").formatted(position);
    }

    static String progressKey(JobId job, int item) {
        return prefix(job) + PROGRESS + item;
    }

    /** Returns the key after which a read begins with the job's result at the position. */
    static String keyBefore(JobId job, int position) {
        return position == 0 ? prefix(job) : resultKey(job, position - 1);
    }

    /** Returns the first key behind the results of a job; the progress of its items follows. */
    static String keyAfterResults(JobId job) {
        return prefix(job) + (char) ('9' + 1);
    }

    /** Returns the first key behind all records of a job. */
    static String keyAfter(JobId job) {
        return job.value() + (char) (SEPARATOR.charAt(0) + 1);
    }

    static String prefix(JobId job) {
        return job + SEPARATOR;
    }

    /** Parses a key of either topic, empty if it is malformed. */
    static Optional<Key> key(String text) {
        int slash = text.lastIndexOf('/');
        if (slash <= 0 || slash == text.length() - 1) {
            return Optional.empty();
        }
        String rest = text.substring(slash + 1);
        try {
            JobId job = new JobId(text.substring(0, slash));
            if (rest.equals(HEAD)) {
                return Optional.of(new Key(job, Kind.HEAD, 0));
            }
            if (rest.equals(END)) {
                return Optional.of(new Key(job, Kind.END, 0));
            }
            if (rest.startsWith(PROGRESS)) {
                return Optional.of(new Key(job, Kind.PROGRESS, Integer.parseInt(rest.substring(PROGRESS.length()))));
            }
            return Optional.of(new Key(job, Kind.NUMBERED, Integer.parseInt(rest)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Encodes a job as records that are within the store's size limit. */
    static List<KeyedRecord> encode(JobId job, JobContent content, int maxRecordBytes) {
        WireJob.Builder wire = WireJob.newBuilder().setHost(content.host());
        for (JobItem item : content.items()) {
            wire.addItems(WireItem.newBuilder()
                    .setId(item.id())
                    .setPath(item.path())
                    .putAllHeaders(item.headers())
                    .setBody(item.body())
                    .setTokens(item.tokens()));
        }
        List<ByteString> contents =
                split(StoredText.deflate(wire.build().toByteString()), maxRecordBytes - PART_OVERHEAD_BYTES);
        if (contents.size() > MAX_PARTS) {
            throw new IllegalArgumentException("a job must fit into " + MAX_PARTS + " records, but " + job + " needs "
                    + contents.size() + " records of " + maxRecordBytes + " bytes");
        }
        long formHash = formHash(contents);
        WireJobPart head = WireJobPart.newBuilder()
                .setParts(contents.size())
                .setItems(content.items().size())
                .build();
        List<KeyedRecord> records = new ArrayList<>();
        records.add(new KeyedRecord(headKey(job), head.toByteString()));
        for (int i = 0; i < contents.size(); i++) {
            WireJobPart part = head.toBuilder()
                    .setIndex(i)
                    .setContent(contents.get(i))
                    .setFormHash(formHash)
                    .build();
            records.add(new KeyedRecord(partKey(job, formHash, i), part.toByteString()));
        }
        return records;
    }

    private static List<ByteString> split(ByteString bytes, int maxBytes) {
        List<ByteString> contents = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(bytes.size(), from + maxBytes);
            contents.add(bytes.substring(from, to));
            from = to;
        } while (from < bytes.size());
        return contents;
    }

    /** Returns the hash that identifies the form with these contents of its parts; never zero. */
    static long formHash(List<ByteString> contents) {
        long hash = StableHash.of(contents.stream()
                .map(content -> Long.toHexString(StableHash.of(content.toByteArray())))
                .collect(Collectors.joining("/")));
        return hash == 0 ? 1 : hash;
    }

    /** Splits records into batches that are within the store's limit for a request. */
    static List<List<KeyedRecord>> batches(List<KeyedRecord> records, int maxRequestBytes) {
        List<List<KeyedRecord>> batches = new ArrayList<>();
        int bytes = 0;
        for (KeyedRecord record : records) {
            int size = record.value().size() + KeyedRecord.MAX_KEY_BYTES;
            if (batches.isEmpty() || bytes + size > maxRequestBytes) {
                batches.add(new ArrayList<>());
                bytes = 0;
            }
            batches.get(batches.size() - 1).add(record);
            bytes += size;
        }
        return batches;
    }

    /** Decodes a part of a job, empty if it is malformed. */
    static Optional<WireJobPart> part(ByteString value) {
        try {
            return Optional.of(WireJobPart.parseFrom(value))
                    .filter(part -> part.getIndex() >= 0 && part.getIndex() < part.getParts());
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    /** Decodes the joined contents of a job's parts, empty if they are malformed. */
    static Optional<JobContent> content(ByteString deflated) {
        try {
            WireJob wire = WireJob.parseFrom(StoredText.inflate(deflated));
            return Optional.of(new JobContent(
                    wire.getHost(),
                    wire.getItemsList().stream()
                            .map(item -> new JobItem(
                                    item.getId(),
                                    item.getPath(),
                                    item.getHeadersMap(),
                                    item.getBody(),
                                    item.getTokens()))
                            .toList()));
        } catch (IOException | DataFormatException e) {
            return Optional.empty();
        }
    }

    static KeyedRecord result(JobId job, int position, int item, ListedResult result) {
        StoredText text = StoredText.of(result.text());
        WireResult wire = WireResult.newBuilder()
                .setItem(item)
                .setItemId(result.itemId())
                .setCompleted(result.completed())
                .setText(text.bytes())
                .setDeflated(text.deflated())
                .build();
        return new KeyedRecord(resultKey(job, position), wire.toByteString());
    }

    /** Decodes a result, empty if it is malformed. */
    static Optional<StoredResult> result(StoreResponse.StoredRecord record) {
        try {
            WireResult wire = WireResult.parseFrom(record.value());
            ByteString text = new StoredText(wire.getText(), wire.getDeflated()).text();
            return Optional.of(
                    new StoredResult(wire.getItem(), new ListedResult(wire.getItemId(), wire.getCompleted(), text)));
        } catch (IOException | DataFormatException e) {
            return Optional.empty();
        }
    }

    static KeyedRecord progress(JobId job, int item, StoredProgress progress) {
        StoredText text = StoredText.of(progress.text());
        WireProgress.Builder wire = WireProgress.newBuilder()
                .setEvents(progress.events())
                .setText(text.bytes())
                .setDeflated(text.deflated());
        progress.generator()
                .ifPresent(generator -> wire.setService(generator.service().value())
                        .setSoftwareVersion(generator.version().text()));
        return new KeyedRecord(progressKey(job, item), wire.build().toByteString());
    }

    /** Decodes the progress of an item, empty if it is malformed. */
    static Optional<StoredProgress> progress(StoreResponse.StoredRecord record) {
        try {
            WireProgress wire = WireProgress.parseFrom(record.value());
            ByteString text = new StoredText(wire.getText(), wire.getDeflated()).text();
            return Optional.of(new StoredProgress(wire.getEvents(), text, generator(wire)));
        } catch (IOException | DataFormatException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<Generator> generator(WireProgress wire) {
        return wire.getService().isEmpty()
                ? Optional.empty()
                : Optional.of(new Generator(
                        new ServiceName(wire.getService()), new SoftwareVersion(wire.getSoftwareVersion())));
    }

    /** A parsed key; {@code number} is the part's index, the result's position or the item's index. */
    record Key(JobId job, Kind kind, int number) {}

    /** The kind of record that a key identifies. */
    enum Kind {
        /** A part of a job, or a result. */
        NUMBERED,
        /** The number of items of a job. */
        HEAD,
        END,
        PROGRESS
    }

    /** The saved progress of an item: its events, their text and what generated them, empty from earlier releases. */
    record StoredProgress(long events, ByteString text, Optional<Generator> generator) {}

    /** A result with the index of its item. */
    record StoredResult(int item, ListedResult result) {}
}
