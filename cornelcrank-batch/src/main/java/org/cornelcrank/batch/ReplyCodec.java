package org.cornelcrank.batch;

import java.util.List;
import java.util.Optional;

import org.cornelcrank.batch.wire.FileInfoValue;
import org.cornelcrank.batch.wire.FilePageValue;
import org.cornelcrank.batch.wire.JobInfoValue;
import org.cornelcrank.batch.wire.JobKeyBoundValue;
import org.cornelcrank.batch.wire.JobListValue;
import org.cornelcrank.batch.wire.RefusalValue;
import org.cornelcrank.batch.wire.ReplyValue;
import org.cornelcrank.batch.wire.ResultLineValue;
import org.cornelcrank.batch.wire.ResultPageValue;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Verdict;

/**
 * Encodes and decodes the replies that owners send to the daemons that forwarded the commands.
 *
 * <p>Stateless, thus thread-safe.
 */
final class ReplyCodec {

    private ReplyCodec() {}

    static ReplyValue encode(CallerReply reply) {
        ReplyValue.Builder value = ReplyValue.newBuilder();
        if (reply instanceof Refusal refusal) {
            value.setRefusal(encodeRefusal(refusal));
        } else if (reply instanceof FileOpened opened) {
            value.setFileOpened(opened.file().value());
        } else if (reply instanceof ItemsAdded added) {
            value.setItemsAdded(added.total());
        } else if (reply instanceof FileSealed sealed) {
            value.setFileSealed(encodeFile(sealed.file()));
        } else if (reply instanceof FileAbandoned abandoned) {
            value.setFileAbandoned(abandoned.file().value());
        } else if (reply instanceof FileInfo info) {
            value.setFileInfo(encodeFile(info));
        } else if (reply instanceof FilePage page) {
            value.setFilePage(FilePageValue.newBuilder()
                    .addAllLines(page.lines())
                    .setNextItem(page.nextItem())
                    .setComplete(page.complete()));
        } else if (reply instanceof JobInfo info) {
            value.setJobInfo(encodeJob(info));
        } else if (reply instanceof ResultPage page) {
            value.setResultPage(encodeResults(page));
        } else if (reply instanceof JobKeyBound bound) {
            value.setJobKeyBound(
                    JobKeyBoundValue.newBuilder().setFile(bound.file().value()).setEndpoint(bound.endpoint()));
        } else if (reply instanceof JobList list) {
            JobListValue.Builder jobs = JobListValue.newBuilder().setMore(list.more());
            list.jobs().forEach(job -> jobs.addJobs(encodeJob(job)));
            value.setJobList(jobs);
        } else {
            throw new IllegalArgumentException("reply must be a batch reply but was " + reply.getClass());
        }
        return value.build();
    }

    static CallerReply decode(ReplyValue value) {
        return switch (value.getReplyCase()) {
            case REFUSAL -> decodeRefusal(value.getRefusal());
            case FILE_OPENED -> new FileOpened(new FileId(value.getFileOpened()));
            case ITEMS_ADDED -> new ItemsAdded(value.getItemsAdded());
            case FILE_SEALED -> new FileSealed(decodeFile(value.getFileSealed()));
            case FILE_ABANDONED -> new FileAbandoned(new FileId(value.getFileAbandoned()));
            case FILE_INFO -> decodeFile(value.getFileInfo());
            case FILE_PAGE -> new FilePage(
                    value.getFilePage().getLinesList(),
                    value.getFilePage().getNextItem(),
                    value.getFilePage().getComplete());
            case JOB_INFO -> decodeJob(value.getJobInfo());
            case RESULT_PAGE -> decodeResults(value.getResultPage());
            case JOB_KEY_BOUND -> new JobKeyBound(
                    new FileId(value.getJobKeyBound().getFile()),
                    value.getJobKeyBound().getEndpoint());
            case JOB_LIST -> new JobList(
                    value.getJobList().getJobsList().stream()
                            .map(ReplyCodec::decodeJob)
                            .toList(),
                    value.getJobList().getMore(),
                    List.of());
            case REPLY_NOT_SET -> throw new IllegalArgumentException(
                    "forwarded reply must have a value of a known type");
        };
    }

    private static RefusalValue encodeRefusal(Refusal refusal) {
        return RefusalValue.newBuilder()
                .setVerdict(refusal.verdict().headerValue())
                .setCode(refusal.code().name())
                .setMessage(refusal.message())
                .setRetryAfterMs(refusal.retryAfterMs())
                .build();
    }

    private static Refusal decodeRefusal(RefusalValue value) {
        return new Refusal(
                Verdict.ofHeaderValue(value.getVerdict()),
                RefusalCode.valueOf(value.getCode()),
                value.getMessage(),
                value.getRetryAfterMs());
    }

    private static FileInfoValue encodeFile(FileInfo info) {
        return FileInfoValue.newBuilder()
                .setFile(info.file().value())
                .setTeam(info.team().value())
                .setFileName(info.fileName())
                .setSealed(info.sealed())
                .setItemCount(info.itemCount())
                .setByteCount(info.byteCount())
                .setCreatedAtMs(info.createdAtMs())
                .setExpiresAtMs(info.expiresAtMs())
                .build();
    }

    private static FileInfo decodeFile(FileInfoValue value) {
        return new FileInfo(
                new FileId(value.getFile()),
                new TeamPath(value.getTeam()),
                value.getFileName(),
                value.getSealed(),
                value.getItemCount(),
                value.getByteCount(),
                value.getCreatedAtMs(),
                value.getExpiresAtMs());
    }

    private static JobInfoValue encodeJob(JobInfo info) {
        return JobInfoValue.newBuilder()
                .setJob(info.job().value())
                .setTeam(info.team().value())
                .setInput(info.input().value())
                .setEndpoint(info.endpoint())
                .setService(info.service().value())
                .setState(info.state().name())
                .setTotal(info.total())
                .setCompleted(info.completed())
                .setFailed(info.failed())
                .setCreatedAtMs(info.createdAtMs())
                .setDeadlineAtMs(info.deadlineAtMs())
                .setFinishedAtMs(info.finishedAtMs())
                .putAllMetadata(info.metadata())
                .setDeadlineAtRisk(info.deadlineAtRisk())
                .build();
    }

    private static JobInfo decodeJob(JobInfoValue value) {
        return new JobInfo(
                new JobId(value.getJob()),
                new TeamPath(value.getTeam()),
                new FileId(value.getInput()),
                value.getEndpoint(),
                new ServiceName(value.getService()),
                JobState.valueOf(value.getState()),
                value.getTotal(),
                value.getCompleted(),
                value.getFailed(),
                value.getCreatedAtMs(),
                value.getDeadlineAtMs(),
                value.getFinishedAtMs(),
                value.getMetadataMap(),
                value.getDeadlineAtRisk());
    }

    private static ResultPageValue encodeResults(ResultPage page) {
        ResultPageValue.Builder value =
                ResultPageValue.newBuilder().setNextItem(page.nextItem()).setComplete(page.complete());
        for (ResultLine line : page.lines()) {
            ResultLineValue.Builder lineValue = ResultLineValue.newBuilder()
                    .setItem(line.item())
                    .setCustomId(line.customId())
                    .setStatusCode(line.statusCode())
                    .setBody(line.body())
                    .setErrorMessage(line.errorMessage());
            line.errorCode().ifPresent(lineValue::setErrorCode);
            value.addLines(lineValue);
        }
        return value.build();
    }

    private static ResultPage decodeResults(ResultPageValue value) {
        List<ResultLine> lines = value.getLinesList().stream()
                .map(line -> new ResultLine(
                        line.getItem(),
                        line.getCustomId(),
                        line.getStatusCode(),
                        line.getBody(),
                        line.hasErrorCode() ? Optional.of(line.getErrorCode()) : Optional.empty(),
                        line.getErrorMessage()))
                .toList();
        return new ResultPage(lines, value.getNextItem(), value.getComplete());
    }
}
