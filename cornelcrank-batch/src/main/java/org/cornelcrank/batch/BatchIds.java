package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.TeamPath;

/**
 * Makes the ids of files and jobs, in which any daemon reads the partition: {@code file-P-X} and {@code job-P-X}.
 *
 * <p>Stateless, thus thread-safe.
 */
final class BatchIds {

    private static final String FILE_PREFIX = "file-";
    private static final String JOB_PREFIX = "job-";

    private BatchIds() {}

    /** Returns the partition of an upload: that of its idempotency key, or of its head where it has none. */
    static PartitionId partitionOf(RegionId home, TeamPath team, OpenFile command, int partitionCount) {
        String key = command.idempotencyKey()
                .map(text -> "upload-key:" + text)
                .orElse("upload-head:" + command.headDigest());
        return PartitionId.ofKey(home, hashKey(team, key), partitionCount);
    }

    /** Returns the partition in which a job's key is bound. */
    static PartitionId partitionOfJobKey(RegionId home, TeamPath team, String key, int partitionCount) {
        return PartitionId.ofKey(home, hashKey(team, "job-key:" + key), partitionCount);
    }

    /** Returns the id of the file that the request opens, the same however often it is forwarded. */
    static FileId fileOf(PartitionId partition, RequestId request) {
        return new FileId(FILE_PREFIX + partition + "-" + hex(StableHash.of("file", request.toString())));
    }

    /** Returns the id of the job that a team's key names. */
    static JobId jobOf(PartitionId partition, TeamPath team, String key) {
        return new JobId(JOB_PREFIX + partition + "-" + hex(StableHash.of(team.team(), key)));
    }

    /** Returns the key of a job: the caller's, or the file's id. */
    static String jobKey(CreateJob command) {
        return command.idempotencyKey().map(key -> "key:" + key).orElse("file:" + command.input());
    }

    static Optional<PartitionId> partitionOf(FileId file) {
        return partitionIn(FILE_PREFIX, file.value());
    }

    static Optional<PartitionId> partitionOf(JobId job) {
        return partitionIn(JOB_PREFIX, job.value());
    }

    private static Optional<PartitionId> partitionIn(String prefix, String id) {
        int dash = id.lastIndexOf('-');
        if (!id.startsWith(prefix) || dash < prefix.length()) {
            return Optional.empty();
        }
        try {
            return Optional.of(PartitionId.parse(id.substring(prefix.length(), dash)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static String hashKey(TeamPath team, String key) {
        return team.team() + "|" + key;
    }

    private static String hex(long hash) {
        return String.format("%016x", hash);
    }
}
