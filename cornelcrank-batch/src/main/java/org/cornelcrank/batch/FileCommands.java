package org.cornelcrank.batch;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.TeamPath;

/**
 * Handles the commands on files of one owned partition.
 *
 * <p>Invariant: a command that changes the state gets its reply after read-back, and is idempotent. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class FileCommands {

    private static final int MAX_ADDED_BYTES = 512 * 1024;
    private static final int ESTIMATED_RECORD_BYTES = 1024;

    private final BatchContext context;
    private final PartitionId partition;
    private final BatchPartitionState state;
    private final PendingWrites writes;
    private final OwnerReplies replies;
    private final PageReader pages;
    private final OwnerChecks checks;

    FileCommands(
            BatchContext context,
            PartitionId partition,
            BatchPartitionState state,
            PendingWrites writes,
            OwnerReplies replies,
            PageReader pages) {
        this.context = context;
        this.partition = partition;
        this.state = state;
        this.writes = writes;
        this.replies = replies;
        this.pages = pages;
        this.checks = new OwnerChecks(context, partition);
    }

    /** Handles a command on a file; returns false if it is another kind of command. */
    boolean handle(HostId origin, ForwardedCommand command, CallerCommand callerCommand, long nowMs, Effects out) {
        if (callerCommand instanceof OpenFile open) {
            open(origin, command, open, nowMs, out);
        } else if (callerCommand instanceof AddItems add) {
            add(origin, command, add, nowMs, out);
        } else if (callerCommand instanceof SealFile seal) {
            seal(origin, command, seal, nowMs, out);
        } else if (callerCommand instanceof AbandonFile abandon) {
            abandon(origin, command, abandon, nowMs, out);
        } else if (callerCommand instanceof GetFile get) {
            replies.reply(origin, command, fileInfo(command.caller(), get.file()), nowMs, out);
        } else if (callerCommand instanceof ReadFile read) {
            read(origin, command, read, nowMs, out);
        } else {
            return false;
        }
        return true;
    }

    long expiresAtMs(StoredFile file) {
        boolean retained = file.sealed() || file.phase() == StoredFile.Phase.SAME_AS_EARLIER;
        long lifetimeMs = retained
                ? context.resultRetentionMs(file.team())
                : context.limits().unsealedFileLifetimeMs();
        return file.changedAtMs() + lifetimeMs;
    }

    private void open(HostId origin, ForwardedCommand command, OpenFile open, long nowMs, Effects out) {
        FileId file = BatchIds.fileOf(partition, command.request());
        if (state.file(file).isPresent()) {
            replies.reply(origin, command, new FileOpened(file), nowMs, out);
            return;
        }
        TeamPath team = command.caller().team();
        Optional<Refusal> refusal = checks.checkWritable(ESTIMATED_RECORD_BYTES, nowMs);
        if (refusal.isPresent()) {
            replies.reply(origin, command, refusal.get(), nowMs, out);
            return;
        }
        writes.propose(
                origin,
                command,
                BatchRecords.fileOpened(file, team, open),
                true,
                (atMs, effects) -> new FileOpened(file),
                nowMs,
                out);
    }

    private void add(HostId origin, ForwardedCommand command, AddItems add, long nowMs, Effects out) {
        Optional<CallerReply> immediateReply = immediateAddReply(command.caller(), add, nowMs);
        if (immediateReply.isPresent()) {
            replies.reply(origin, command, immediateReply.get(), nowMs, out);
            return;
        }
        writes.propose(
                origin,
                command,
                BatchRecords.itemsAdded(add, firstService(add)),
                true,
                (atMs, effects) -> itemsAdded(add),
                nowMs,
                out);
    }

    private Optional<CallerReply> immediateAddReply(Caller caller, AddItems add, long nowMs) {
        Optional<StoredFile> found = visible(caller, add.file());
        if (found.isEmpty()) {
            return Optional.of(OwnerChecks.notFound(add.file()));
        }
        StoredFile file = found.get();
        if (file.phase() != StoredFile.Phase.OPEN) {
            return Optional.of(
                    OwnerChecks.conflict("file " + file.id() + " is no longer open and accepts no more items"));
        }
        if (add.lines().isEmpty() || add.firstItem() < 0 || add.firstItem() > file.itemCount()) {
            String message = "firstItem must be from 0 to " + file.itemCount()
                    + " and lines not empty, but firstItem was " + add.firstItem() + " and the number of lines "
                    + add.lines().size();
            return Optional.of(OwnerChecks.invalid(message));
        }
        if (add.firstItem() < file.itemCount()) {
            return Optional.of(itemsAdded(add));
        }
        return checkItems(file, add)
                .or(() -> checks.checkWritable(bytesOf(add), nowMs))
                .map(refusal -> refusal);
    }

    private Optional<Refusal> checkItems(StoredFile file, AddItems add) {
        long bytes = bytesOf(add);
        if (bytes > MAX_ADDED_BYTES) {
            String message =
                    "at most " + MAX_ADDED_BYTES + " bytes of lines can be added at once but there were " + bytes;
            return Optional.of(Refusal.notRun(RefusalCode.TOO_LARGE, message));
        }
        if (add.firstItem() == 0 && firstService(add).isEmpty()) {
            return Optional.of(OwnerChecks.invalid("the body of the first line must name a model"));
        }
        long allowed = context.settings()
                .team(file.team())
                .map(policy -> policy.maxStoredBytes())
                .orElse(Long.MAX_VALUE);
        if (storedBytes(file.team()) + bytes > allowed) {
            String message = "the team may store at most " + allowed + " bytes of files in partition " + partition;
            return Optional.of(Refusal.notRun(RefusalCode.LIMIT_EXCEEDED, message));
        }
        return Optional.empty();
    }

    private static long bytesOf(AddItems add) {
        return add.lines().stream().mapToLong(ByteString::size).sum();
    }

    private long storedBytes(TeamPath team) {
        return state.files().stream()
                .filter(file -> file.team().team().equals(team.team()))
                .mapToLong(StoredFile::byteCount)
                .sum();
    }

    private CallerReply itemsAdded(AddItems add) {
        Optional<StoredFile> file = state.file(add.file());
        int end = add.firstItem() + add.lines().size();
        if (file.isEmpty() || file.get().itemCount() < end) {
            return OwnerChecks.conflict(
                    "lines of " + add.file() + " were added at the same position by another request");
        }
        return new ItemsAdded(file.get().itemCount());
    }

    private static String firstService(AddItems add) {
        if (add.firstItem() != 0) {
            return "";
        }
        return ItemLine.parse(add.lines().get(0)).map(ItemLine::service).orElse("");
    }

    private void seal(HostId origin, ForwardedCommand command, SealFile seal, long nowMs, Effects out) {
        Optional<CallerReply> immediateReply = immediateSealReply(command.caller(), seal, nowMs);
        if (immediateReply.isPresent()) {
            replies.reply(origin, command, immediateReply.get(), nowMs, out);
            return;
        }
        writes.propose(
                origin, command, BatchRecords.fileSealed(seal), true, (atMs, effects) -> sealed(seal), nowMs, out);
    }

    private Optional<CallerReply> immediateSealReply(Caller caller, SealFile seal, long nowMs) {
        Optional<StoredFile> found = visible(caller, seal.file());
        if (found.isEmpty()) {
            return Optional.of(OwnerChecks.notFound(seal.file()));
        }
        StoredFile file = found.get();
        if (file.phase() != StoredFile.Phase.OPEN) {
            return Optional.of(sealed(seal));
        }
        if (seal.itemCount() != file.itemCount() || seal.itemCount() == 0) {
            String message = "itemCount must be " + file.itemCount() + " and above zero but was " + seal.itemCount();
            return Optional.of(OwnerChecks.invalid(message));
        }
        return checks.checkWritable(ESTIMATED_RECORD_BYTES, nowMs).map(refusal -> refusal);
    }

    private CallerReply sealed(SealFile seal) {
        Optional<StoredFile> file = state.file(seal.file());
        if (file.isEmpty()) {
            return OwnerChecks.notFound(seal.file());
        }
        return switch (file.get().phase()) {
            case SEALED -> new FileSealed(info(file.get()));
            case SAME_AS_EARLIER -> file.get()
                    .earlierFile()
                    .flatMap(state::file)
                    .<CallerReply>map(earlier -> new FileSealed(info(earlier)))
                    .orElse(OwnerChecks.notFound(seal.file()));
            case CONFLICTING -> OwnerChecks.conflict("the idempotency key was already used for other content");
            case OPEN -> OwnerChecks.conflict("items were added to " + seal.file() + " while it was being sealed");
        };
    }

    private void abandon(HostId origin, ForwardedCommand command, AbandonFile abandon, long nowMs, Effects out) {
        Optional<StoredFile> file = visible(command.caller(), abandon.file());
        if (file.isEmpty()) {
            replies.reply(origin, command, new FileAbandoned(abandon.file()), nowMs, out);
            return;
        }
        Optional<Refusal> refusal = file.get().sealed()
                ? Optional.of(OwnerChecks.conflict("file " + abandon.file() + " is sealed"))
                : checks.checkWritable(ESTIMATED_RECORD_BYTES, nowMs);
        if (refusal.isPresent()) {
            replies.reply(origin, command, refusal.get(), nowMs, out);
            return;
        }
        writes.propose(
                origin,
                command,
                BatchRecords.fileAbandoned(abandon.file()),
                false,
                (atMs, effects) -> new FileAbandoned(abandon.file()),
                nowMs,
                out);
    }

    private void read(HostId origin, ForwardedCommand command, ReadFile read, long nowMs, Effects out) {
        Optional<StoredFile> file = visible(command.caller(), read.file())
                .flatMap(found -> found.earlierFile().flatMap(state::file).or(() -> Optional.of(found)));
        if (file.isEmpty()) {
            replies.reply(origin, command, OwnerChecks.notFound(read.file()), nowMs, out);
            return;
        }
        if (!file.get().sealed()) {
            Refusal refusal = OwnerChecks.conflict("file " + read.file() + " is not sealed");
            replies.reply(origin, command, refusal, nowMs, out);
            return;
        }
        pages.readFile(origin, command, file.get(), read, nowMs, out);
    }

    private CallerReply fileInfo(Caller caller, FileId id) {
        return visible(caller, id).<CallerReply>map(this::info).orElse(OwnerChecks.notFound(id));
    }

    private FileInfo info(StoredFile file) {
        return file.info(expiresAtMs(file));
    }

    private Optional<StoredFile> visible(Caller caller, FileId id) {
        return state.file(id).filter(file -> OwnerChecks.mayAccess(caller, file.team()));
    }
}
