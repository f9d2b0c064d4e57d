package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.batch.wire.AddItemsValue;
import org.cornelcrank.batch.wire.BindJobKeyValue;
import org.cornelcrank.batch.wire.CommandValue;
import org.cornelcrank.batch.wire.CreateJobValue;
import org.cornelcrank.batch.wire.ListPartitionJobsValue;
import org.cornelcrank.batch.wire.OpenFileValue;
import org.cornelcrank.batch.wire.ReadValue;
import org.cornelcrank.batch.wire.SealFileValue;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;

/**
 * Encodes and decodes the commands that daemons forward to a partition's owner.
 *
 * <p>Stateless, thus thread-safe.
 */
final class CommandCodec {

    private CommandCodec() {}

    static CommandValue encode(CallerCommand command) {
        CommandValue.Builder value = CommandValue.newBuilder();
        if (command instanceof OpenFile open) {
            value.setOpenFile(encodeOpenFile(open));
        } else if (command instanceof AddItems add) {
            value.setAddItems(AddItemsValue.newBuilder()
                    .setFile(add.file().value())
                    .setFirstItem(add.firstItem())
                    .addAllLines(add.lines()));
        } else if (command instanceof SealFile seal) {
            value.setSealFile(SealFileValue.newBuilder()
                    .setFile(seal.file().value())
                    .setItemCount(seal.itemCount())
                    .setContentDigest(seal.contentDigest()));
        } else if (command instanceof AbandonFile abandon) {
            value.setAbandonFile(abandon.file().value());
        } else if (command instanceof GetFile get) {
            value.setGetFile(get.file().value());
        } else if (command instanceof ReadFile read) {
            value.setReadFile(readValue(read.file().value(), read.fromItem(), read.limit()));
        } else if (command instanceof CreateJob create) {
            value.setCreateJob(encodeCreateJob(create));
        } else if (command instanceof GetJob get) {
            value.setGetJob(get.job().value());
        } else if (command instanceof CancelJob cancel) {
            value.setCancelJob(cancel.job().value());
        } else if (command instanceof ReadResults read) {
            value.setReadResults(readValue(read.job().value(), read.fromItem(), read.limit()));
        } else if (command instanceof BindJobKey bind) {
            value.setBindJobKey(BindJobKeyValue.newBuilder()
                    .setKey(bind.key())
                    .setFile(bind.file().value())
                    .setEndpoint(bind.endpoint()));
        } else if (command instanceof ListPartitionJobs list) {
            value.setListPartitionJobs(ListPartitionJobsValue.newBuilder()
                    .setCreatedUntilMs(list.createdUntilMs())
                    .setAfter(list.after())
                    .setLimit(list.limit()));
        } else {
            throw new IllegalArgumentException(
                    "command must be a forwardable batch command but was " + command.getClass());
        }
        return value.build();
    }

    static CallerCommand decode(CommandValue value) {
        return switch (value.getCommandCase()) {
            case OPEN_FILE -> decodeOpenFile(value.getOpenFile());
            case ADD_ITEMS -> new AddItems(
                    new FileId(value.getAddItems().getFile()),
                    value.getAddItems().getFirstItem(),
                    value.getAddItems().getLinesList());
            case SEAL_FILE -> new SealFile(
                    new FileId(value.getSealFile().getFile()),
                    value.getSealFile().getItemCount(),
                    value.getSealFile().getContentDigest());
            case ABANDON_FILE -> new AbandonFile(new FileId(value.getAbandonFile()));
            case GET_FILE -> new GetFile(new FileId(value.getGetFile()));
            case READ_FILE -> new ReadFile(
                    new FileId(value.getReadFile().getId()),
                    value.getReadFile().getFromItem(),
                    value.getReadFile().getMost());
            case CREATE_JOB -> decodeCreateJob(value.getCreateJob());
            case GET_JOB -> new GetJob(new JobId(value.getGetJob()));
            case CANCEL_JOB -> new CancelJob(new JobId(value.getCancelJob()));
            case READ_RESULTS -> new ReadResults(
                    new JobId(value.getReadResults().getId()),
                    value.getReadResults().getFromItem(),
                    value.getReadResults().getMost());
            case BIND_JOB_KEY -> new BindJobKey(
                    value.getBindJobKey().getKey(),
                    new FileId(value.getBindJobKey().getFile()),
                    value.getBindJobKey().getEndpoint());
            case LIST_PARTITION_JOBS -> new ListPartitionJobs(
                    value.getListPartitionJobs().getCreatedUntilMs(),
                    value.getListPartitionJobs().getAfter(),
                    value.getListPartitionJobs().getLimit());
            case COMMAND_NOT_SET -> throw new IllegalArgumentException(
                    "forwarded command must have a value of a known type");
        };
    }

    private static OpenFileValue encodeOpenFile(OpenFile open) {
        OpenFileValue.Builder value =
                OpenFileValue.newBuilder().setFileName(open.fileName()).setHeadDigest(open.headDigest());
        open.idempotencyKey().ifPresent(value::setIdempotencyKey);
        return value.build();
    }

    private static OpenFile decodeOpenFile(OpenFileValue value) {
        Optional<String> key = value.hasIdempotencyKey() ? Optional.of(value.getIdempotencyKey()) : Optional.empty();
        return new OpenFile(value.getFileName(), key, value.getHeadDigest());
    }

    private static CreateJobValue encodeCreateJob(CreateJob create) {
        CreateJobValue.Builder value = CreateJobValue.newBuilder()
                .setInput(create.input().value())
                .setEndpoint(create.endpoint())
                .setCompletionWindowMs(create.completionWindowMs())
                .putAllMetadata(create.metadata());
        create.idempotencyKey().ifPresent(value::setIdempotencyKey);
        return value.build();
    }

    private static CreateJob decodeCreateJob(CreateJobValue value) {
        return new CreateJob(
                new FileId(value.getInput()),
                value.getEndpoint(),
                value.hasIdempotencyKey() ? Optional.of(value.getIdempotencyKey()) : Optional.empty(),
                value.getCompletionWindowMs(),
                value.getMetadataMap());
    }

    private static ReadValue readValue(String id, int fromItem, int limit) {
        return ReadValue.newBuilder()
                .setId(id)
                .setFromItem(fromItem)
                .setMost(limit)
                .build();
    }
}
