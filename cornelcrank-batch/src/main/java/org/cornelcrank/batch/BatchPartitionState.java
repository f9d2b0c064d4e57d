package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.batch.wire.BatchCheckpoint;
import org.cornelcrank.batch.wire.BatchRecord;
import org.cornelcrank.batch.wire.ExpiredRecord;
import org.cornelcrank.batch.wire.FileOpenedRecord;
import org.cornelcrank.batch.wire.FileSealedRecord;
import org.cornelcrank.batch.wire.ItemResult;
import org.cornelcrank.batch.wire.ItemsAddedRecord;
import org.cornelcrank.batch.wire.ItemsFinishedRecord;
import org.cornelcrank.batch.wire.ItemsTriedRecord;
import org.cornelcrank.batch.wire.JobKeyBoundRecord;
import org.cornelcrank.batch.wire.JobKeySnapshot;
import org.cornelcrank.batch.wire.JobOpenedRecord;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.PartitionState;
import org.cornelcrank.partition.RecordPosition;

/**
 * State of the files and jobs of one partition, folded from its records.
 *
 * <p>Invariants: the first record that ends an item takes effect, and every later one is void; a job's counts and
 * results do not change once it has ended or been cancelled; an existing job, file or bound key is never replaced.
 * Lines and results are not held in memory, only their positions in the log. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class BatchPartitionState implements PartitionState {

    private static final int CHECKPOINT_PAYLOAD_BYTES = 256 * 1024;

    private final SortedMap<FileId, StoredFile> files = new TreeMap<>();
    private final SortedMap<JobId, StoredJob> jobs = new TreeMap<>();
    private final SortedMap<JobKey, BoundKey> keys = new TreeMap<>();

    @Override
    public void apply(DurableRecord record, RecordPosition position, long writtenAtMs) {
        BatchRecord batch;
        try {
            batch = BatchRecord.parseFrom(record.payload());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("record must be a batch record but cannot be parsed", e);
        }
        switch (batch.getRecordCase()) {
            case FILE_OPENED -> openFile(batch.getFileOpened(), writtenAtMs);
            case ITEMS_ADDED -> addItems(batch.getItemsAdded(), position, writtenAtMs);
            case FILE_SEALED -> sealFile(batch.getFileSealed(), writtenAtMs);
            case FILE_ABANDONED -> abandonFile(
                    new FileId(batch.getFileAbandoned().getFile()));
            case JOB_KEY_BOUND -> bindKey(batch.getJobKeyBound(), writtenAtMs);
            case JOB_OPENED -> openJob(batch.getJobOpened(), writtenAtMs);
            case ITEMS_FINISHED -> finishItems(batch.getItemsFinished(), position, writtenAtMs);
            case ITEMS_TRIED -> countAttempts(batch.getItemsTried());
            case JOB_CANCELLED -> job(new JobId(batch.getJobCancelled().getJob()))
                    .ifPresent(job -> job.cancel(writtenAtMs));
            case EXPIRED -> expire(batch.getExpired());
            default -> {
                // The record was written by a newer version; this version has no state for it.
            }
        }
    }

    @Override
    public List<ByteString> checkpoint() {
        BatchCheckpoint.Builder checkpoint = BatchCheckpoint.newBuilder();
        files.values().forEach(file -> checkpoint.addFiles(file.snapshot()));
        jobs.values().forEach(job -> checkpoint.addJobs(job.snapshot()));
        keys.forEach((key, bound) -> checkpoint.addKeys(bound.snapshot(key)));
        ByteString serialized = checkpoint.build().toByteString();
        List<ByteString> payloads = new ArrayList<>();
        for (int start = 0; start < serialized.size(); start += CHECKPOINT_PAYLOAD_BYTES) {
            payloads.add(serialized.substring(start, Math.min(serialized.size(), start + CHECKPOINT_PAYLOAD_BYTES)));
        }
        return payloads;
    }

    @Override
    public void restore(List<ByteString> payloads) {
        BatchCheckpoint checkpoint;
        try {
            checkpoint = BatchCheckpoint.parseFrom(ByteString.copyFrom(payloads));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("payloads must form a complete checkpoint but cannot be parsed", e);
        }
        files.clear();
        jobs.clear();
        keys.clear();
        checkpoint.getFilesList().forEach(file -> files.put(new FileId(file.getFile()), StoredFile.of(file)));
        checkpoint.getJobsList().forEach(job -> jobs.put(new JobId(job.getJob()), StoredJob.of(job)));
        checkpoint.getKeysList().forEach(key -> keys.put(new JobKey(key.getTeam(), key.getKey()), BoundKey.of(key)));
    }

    @Override
    public List<RecordPosition> neededBefore(long offset, int limit) {
        List<RecordPosition> needed = new ArrayList<>();
        files.values().forEach(file -> file.pages().collectBefore(offset, needed));
        jobs.values().forEach(job -> job.results().collectBefore(offset, needed));
        Collections.sort(needed);
        return List.copyOf(needed.subList(0, Math.min(limit, needed.size())));
    }

    @Override
    public void moved(RecordPosition from, RecordPosition to) {
        files.values().forEach(file -> file.pages().move(from, to));
        jobs.values().forEach(job -> job.results().move(from, to));
    }

    Optional<StoredFile> file(FileId id) {
        return Optional.ofNullable(files.get(id));
    }

    Optional<StoredJob> job(JobId id) {
        return Optional.ofNullable(jobs.get(id));
    }

    Optional<BoundKey> key(JobKey key) {
        return Optional.ofNullable(keys.get(key));
    }

    Collection<StoredFile> files() {
        return Collections.unmodifiableCollection(files.values());
    }

    Collection<StoredJob> jobs() {
        return Collections.unmodifiableCollection(jobs.values());
    }

    int keyCount() {
        return keys.size();
    }

    /** Returns whether any key was bound before the given time. */
    boolean hasKeyBoundBefore(long timeMs) {
        return keys.values().stream().anyMatch(bound -> bound.boundAtMs() < timeMs);
    }

    /** Returns whether a job that has not ended reads its items from the file. */
    boolean inUse(FileId file) {
        return jobs.values().stream()
                .anyMatch(job -> !job.ended() && job.terms().file().equals(file));
    }

    private void openFile(FileOpenedRecord record, long atMs) {
        FileId id = new FileId(record.getFile());
        Optional<String> key = record.hasIdempotencyKey() ? Optional.of(record.getIdempotencyKey()) : Optional.empty();
        files.putIfAbsent(id, new StoredFile(id, new TeamPath(record.getTeam()), record.getFileName(), key, atMs));
    }

    private void addItems(ItemsAddedRecord record, RecordPosition position, long atMs) {
        StoredFile file = files.get(new FileId(record.getFile()));
        int count = record.getLinesCount();
        if (file == null || file.phase() != StoredFile.Phase.OPEN || count == 0) {
            return;
        }
        if (record.getFirstItem() != file.itemCount()) {
            return;
        }
        long bytes = record.getLinesList().stream().mapToLong(ByteString::size).sum();
        file.pages().add(record.getFirstItem(), record.getFirstItem() + count - 1, position);
        file.itemsAdded(count, bytes, record.getService(), atMs);
    }

    private void sealFile(FileSealedRecord record, long atMs) {
        StoredFile file = files.get(new FileId(record.getFile()));
        if (file == null || file.phase() != StoredFile.Phase.OPEN || record.getItemCount() != file.itemCount()) {
            return;
        }
        Optional<StoredFile> sameKey = sealedWithKeyOf(file);
        if (sameKey.isPresent() && !sameKey.get().contentDigest().equals(record.getContentDigest())) {
            file.markConflicting(atMs);
            return;
        }
        Optional<StoredFile> sameContent = sealedWithContent(file.team(), record.getContentDigest());
        if (sameContent.isPresent()) {
            file.markDuplicate(sameContent.get().id(), atMs);
            return;
        }
        file.seal(record.getContentDigest(), atMs);
    }

    private Optional<StoredFile> sealedWithKeyOf(StoredFile file) {
        return files.values().stream()
                .filter(other -> other.sealed() || other.phase() == StoredFile.Phase.SAME_AS_EARLIER)
                .filter(other -> other.team().team().equals(file.team().team()))
                .filter(other -> file.idempotencyKey().isPresent()
                        && other.idempotencyKey().equals(file.idempotencyKey()))
                .map(other -> other.earlierFile().map(files::get).orElse(other))
                .findFirst();
    }

    private Optional<StoredFile> sealedWithContent(TeamPath team, String digest) {
        return files.values().stream()
                .filter(StoredFile::sealed)
                .filter(other -> other.team().team().equals(team.team()))
                .filter(other -> other.contentDigest().equals(digest))
                .findFirst();
    }

    private void abandonFile(FileId id) {
        StoredFile file = files.get(id);
        if (file != null && !file.sealed()) {
            files.remove(id);
        }
    }

    private void bindKey(JobKeyBoundRecord record, long atMs) {
        JobKey key = new JobKey(record.getTeam(), record.getKey());
        keys.putIfAbsent(key, new BoundKey(new FileId(record.getFile()), record.getEndpoint(), atMs));
    }

    private void openJob(JobOpenedRecord record, long atMs) {
        JobId id = new JobId(record.getJob());
        StoredFile file = files.get(new FileId(record.getFile()));
        if (jobs.containsKey(id) || file == null || !file.sealed() || !Names.isName(file.service())) {
            return;
        }
        jobs.put(
                id,
                new StoredJob(new StoredJob.Terms(
                        id,
                        new TeamPath(record.getTeam()),
                        file.id(),
                        record.getEndpoint(),
                        new ServiceName(file.service()),
                        file.itemCount(),
                        atMs,
                        atMs + record.getCompletionWindowMs(),
                        record.getMetadataMap())));
    }

    private void finishItems(ItemsFinishedRecord record, RecordPosition position, long atMs) {
        StoredJob job = jobs.get(new JobId(record.getJob()));
        if (job == null) {
            return;
        }
        int first = Integer.MAX_VALUE;
        int last = -1;
        for (ItemResult result : record.getResultsList()) {
            if (job.finishItem(result.getItem(), result.hasErrorCode())) {
                first = Math.min(first, result.getItem());
                last = Math.max(last, result.getItem());
            }
        }
        if (last >= 0) {
            job.resultsRecorded(first, last, position, atMs);
        }
    }

    private void countAttempts(ItemsTriedRecord record) {
        job(new JobId(record.getJob())).ifPresent(job -> record.getAttemptsList()
                .forEach(item -> job.countAttempts(item.getItem(), item.getAttempts())));
    }

    private void expire(ExpiredRecord record) {
        record.getJobsList().forEach(job -> jobs.remove(new JobId(job)));
        record.getFilesList().forEach(file -> files.remove(new FileId(file)));
        keys.values().removeIf(bound -> bound.boundAtMs() < record.getKeysBoundBeforeMs());
    }

    /** File and endpoint that a job key is bound to until its retention ends. Immutable, thus thread-safe. */
    record BoundKey(FileId file, String endpoint, long boundAtMs) {

        static BoundKey of(JobKeySnapshot snapshot) {
            return new BoundKey(new FileId(snapshot.getFile()), snapshot.getEndpoint(), snapshot.getBoundAtMs());
        }

        JobKeySnapshot snapshot(JobKey key) {
            return JobKeySnapshot.newBuilder()
                    .setTeam(key.team())
                    .setKey(key.key())
                    .setFile(file.value())
                    .setEndpoint(endpoint)
                    .setBoundAtMs(boundAtMs)
                    .build();
        }
    }
}
