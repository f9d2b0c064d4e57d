package org.cornelcrank.batch;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.batch.wire.BatchRecord;
import org.cornelcrank.batch.wire.ExpiredRecord;
import org.cornelcrank.batch.wire.FileAbandonedRecord;
import org.cornelcrank.batch.wire.FileOpenedRecord;
import org.cornelcrank.batch.wire.FileSealedRecord;
import org.cornelcrank.batch.wire.ItemAttempts;
import org.cornelcrank.batch.wire.ItemResult;
import org.cornelcrank.batch.wire.ItemsAddedRecord;
import org.cornelcrank.batch.wire.ItemsFinishedRecord;
import org.cornelcrank.batch.wire.ItemsTriedRecord;
import org.cornelcrank.batch.wire.JobCancelledRecord;
import org.cornelcrank.batch.wire.JobKeyBoundRecord;
import org.cornelcrank.batch.wire.JobOpenedRecord;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.partition.DurableRecord;

/**
 * Creates the durable records of files and batch jobs.
 *
 * <p>Stateless, thus thread-safe.
 */
final class BatchRecords {

    static final String SLICE = "batch";

    private BatchRecords() {}

    static DurableRecord fileOpened(FileId file, TeamPath team, OpenFile command) {
        FileOpenedRecord.Builder opened = FileOpenedRecord.newBuilder()
                .setFile(file.value())
                .setTeam(team.value())
                .setFileName(command.fileName());
        command.idempotencyKey().ifPresent(opened::setIdempotencyKey);
        return record(BatchRecord.newBuilder().setFileOpened(opened));
    }

    static DurableRecord itemsAdded(AddItems command, String service) {
        return record(BatchRecord.newBuilder()
                .setItemsAdded(ItemsAddedRecord.newBuilder()
                        .setFile(command.file().value())
                        .setFirstItem(command.firstItem())
                        .addAllLines(command.lines())
                        .setService(service)));
    }

    static DurableRecord fileSealed(SealFile command) {
        return record(BatchRecord.newBuilder()
                .setFileSealed(FileSealedRecord.newBuilder()
                        .setFile(command.file().value())
                        .setItemCount(command.itemCount())
                        .setContentDigest(command.contentDigest())));
    }

    static DurableRecord fileAbandoned(FileId file) {
        return record(BatchRecord.newBuilder()
                .setFileAbandoned(FileAbandonedRecord.newBuilder().setFile(file.value())));
    }

    static DurableRecord jobKeyBound(JobKey key, BindJobKey command) {
        return record(BatchRecord.newBuilder()
                .setJobKeyBound(JobKeyBoundRecord.newBuilder()
                        .setTeam(key.team())
                        .setKey(key.key())
                        .setFile(command.file().value())
                        .setEndpoint(command.endpoint())));
    }

    static DurableRecord jobOpened(JobId job, TeamPath team, CreateJob command) {
        return record(BatchRecord.newBuilder()
                .setJobOpened(JobOpenedRecord.newBuilder()
                        .setJob(job.value())
                        .setTeam(team.value())
                        .setFile(command.input().value())
                        .setEndpoint(command.endpoint())
                        .setCompletionWindowMs(command.completionWindowMs())
                        .putAllMetadata(command.metadata())));
    }

    static DurableRecord itemsFinished(JobId job, List<ResultLine> results) {
        ItemsFinishedRecord.Builder finished = ItemsFinishedRecord.newBuilder().setJob(job.value());
        results.forEach(result -> finished.addResults(itemResult(result)));
        return record(BatchRecord.newBuilder().setItemsFinished(finished));
    }

    static DurableRecord itemsTried(JobId job, Map<Integer, Integer> attempts) {
        ItemsTriedRecord.Builder tried = ItemsTriedRecord.newBuilder().setJob(job.value());
        attempts.forEach((item, count) ->
                tried.addAttempts(ItemAttempts.newBuilder().setItem(item).setAttempts(count)));
        return record(BatchRecord.newBuilder().setItemsTried(tried));
    }

    static DurableRecord jobCancelled(JobId job) {
        return record(BatchRecord.newBuilder()
                .setJobCancelled(JobCancelledRecord.newBuilder().setJob(job.value())));
    }

    static DurableRecord expired(Collection<FileId> files, Collection<JobId> jobs, long keysBoundBeforeMs) {
        ExpiredRecord.Builder expired = ExpiredRecord.newBuilder().setKeysBoundBeforeMs(keysBoundBeforeMs);
        files.forEach(file -> expired.addFiles(file.value()));
        jobs.forEach(job -> expired.addJobs(job.value()));
        return record(BatchRecord.newBuilder().setExpired(expired));
    }

    static ResultLine resultLine(ItemResult result) {
        return new ResultLine(
                result.getItem(),
                result.getCustomId(),
                result.getStatusCode(),
                result.getBody(),
                result.hasErrorCode() ? Optional.of(result.getErrorCode()) : Optional.empty(),
                result.getErrorMessage());
    }

    private static ItemResult itemResult(ResultLine line) {
        ItemResult.Builder result = ItemResult.newBuilder()
                .setItem(line.item())
                .setCustomId(line.customId())
                .setStatusCode(line.statusCode())
                .setBody(line.body())
                .setErrorMessage(line.errorMessage());
        line.errorCode().ifPresent(result::setErrorCode);
        return result.build();
    }

    private static DurableRecord record(BatchRecord.Builder record) {
        ByteString payload = record.build().toByteString();
        return new DurableRecord(SLICE, payload);
    }
}
