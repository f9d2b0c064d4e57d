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
 * Creates and parses the ids of files and jobs, {@code file-P-X} and {@code job-P-X}, where P is the partition.
 *
 * <p>The id contains the partition so that every daemon can derive the partition from the id. Stateless, thus
 * thread-safe.
 */
final class BatchIds {

    private static final String FILE_PREFIX = "file-";
    private static final String JOB_PREFIX = "job-";

    private BatchIds() {}

    /** Returns the partition of an upload, chosen by its idempotency key or, if it has none, by its head digest. */
    static PartitionId partitionOf(RegionId home, TeamPath team, OpenFile command, int partitionCount) {
        String key = command.idempotencyKey()
                .map(text -> "upload-key:" + text)
                .orElse("upload-head:" + command.headDigest());
        return PartitionId.ofKey(home, hashKey(team, key), partitionCount);
    }

    /** Returns the partition that stores the binding of a job's key. */
    static PartitionId partitionOfJobKey(RegionId home, TeamPath team, String key, int partitionCount) {
        return PartitionId.ofKey(home, hashKey(team, "job-key:" + key), partitionCount);
    }

    /** Returns the id of the file that the request opens; forwarding the request again yields the same id. */
    static FileId fileOf(PartitionId partition, RequestId request) {
        return new FileId(FILE_PREFIX + partition + "-" + hex(StableHash.of("file", request.toString())));
    }

    /** Returns the id of the job that a team's key identifies. */
    static JobId jobOf(PartitionId partition, TeamPath team, String key) {
        return new JobId(JOB_PREFIX + partition + "-" + hex(StableHash.of(team.team(), key)));
    }

    /** Returns the key of a job: the caller's idempotency key, or one made from the file's id if there is none. */
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
