package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.batch.wire.FileSnapshot;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.TeamPath;

/**
 * State of an uploaded file in its partition; the lines themselves stay in the log.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class StoredFile {

    private final FileId id;
    private final TeamPath team;
    private final String fileName;
    private final Optional<String> idempotencyKey;
    private final long createdAtMs;
    private final RecordPages pages;
    private Phase phase = Phase.OPEN;
    private int itemCount;
    private long byteCount;
    private String contentDigest = "";
    private String service = "";
    private long changedAtMs;
    private FileId earlierFile;

    StoredFile(FileId id, TeamPath team, String fileName, Optional<String> idempotencyKey, long createdAtMs) {
        this(id, team, fileName, idempotencyKey, createdAtMs, new RecordPages());
    }

    private StoredFile(
            FileId id,
            TeamPath team,
            String fileName,
            Optional<String> idempotencyKey,
            long createdAtMs,
            RecordPages pages) {
        this.id = id;
        this.team = team;
        this.fileName = fileName;
        this.idempotencyKey = idempotencyKey;
        this.createdAtMs = createdAtMs;
        this.changedAtMs = createdAtMs;
        this.pages = pages;
    }

    static StoredFile of(FileSnapshot snapshot) {
        StoredFile file = new StoredFile(
                new FileId(snapshot.getFile()),
                new TeamPath(snapshot.getTeam()),
                snapshot.getFileName(),
                snapshot.hasIdempotencyKey() ? Optional.of(snapshot.getIdempotencyKey()) : Optional.empty(),
                snapshot.getCreatedAtMs(),
                RecordPages.of(snapshot.getPages()));
        file.phase = Phase.valueOf(snapshot.getPhase());
        file.itemCount = snapshot.getItemCount();
        file.byteCount = snapshot.getByteCount();
        file.contentDigest = snapshot.getContentDigest();
        file.service = snapshot.getService();
        file.changedAtMs = snapshot.getChangedAtMs();
        if (!snapshot.getEarlierFile().isEmpty()) {
            file.earlierFile = new FileId(snapshot.getEarlierFile());
        }
        return file;
    }

    FileId id() {
        return id;
    }

    TeamPath team() {
        return team;
    }

    Optional<String> idempotencyKey() {
        return idempotencyKey;
    }

    Phase phase() {
        return phase;
    }

    boolean sealed() {
        return phase == Phase.SEALED;
    }

    int itemCount() {
        return itemCount;
    }

    long byteCount() {
        return byteCount;
    }

    String contentDigest() {
        return contentDigest;
    }

    /** Returns the service that the first line names; empty if it names none. */
    String service() {
        return service;
    }

    long changedAtMs() {
        return changedAtMs;
    }

    /** Returns the earlier file with the same content; present only in phase {@link Phase#SAME_AS_EARLIER}. */
    Optional<FileId> earlierFile() {
        return Optional.ofNullable(earlierFile);
    }

    RecordPages pages() {
        return pages;
    }

    void itemsAdded(int count, long bytes, String firstService, long atMs) {
        if (itemCount == 0) {
            service = firstService;
        }
        itemCount += count;
        byteCount += bytes;
        changedAtMs = atMs;
    }

    void seal(String digest, long atMs) {
        phase = Phase.SEALED;
        contentDigest = digest;
        changedAtMs = atMs;
    }

    /** Discards the lines, because an earlier file has the same content. */
    void markDuplicate(FileId earlier, long atMs) {
        phase = Phase.SAME_AS_EARLIER;
        earlierFile = earlier;
        discardLines(atMs);
    }

    /** Discards the lines, because the idempotency key was used for other content. */
    void markConflicting(long atMs) {
        phase = Phase.CONFLICTING;
        discardLines(atMs);
    }

    FileSnapshot snapshot() {
        FileSnapshot.Builder snapshot = FileSnapshot.newBuilder()
                .setFile(id.value())
                .setTeam(team.value())
                .setFileName(fileName)
                .setPhase(phase.name())
                .setItemCount(itemCount)
                .setByteCount(byteCount)
                .setContentDigest(contentDigest)
                .setService(service)
                .setCreatedAtMs(createdAtMs)
                .setChangedAtMs(changedAtMs)
                .setPages(pages.snapshot());
        idempotencyKey.ifPresent(snapshot::setIdempotencyKey);
        earlierFile().ifPresent(earlier -> snapshot.setEarlierFile(earlier.value()));
        return snapshot.build();
    }

    FileInfo info(long expiresAtMs) {
        return new FileInfo(id, team, fileName, sealed(), itemCount, byteCount, createdAtMs, expiresAtMs);
    }

    private void discardLines(long atMs) {
        pages.clear();
        byteCount = 0;
        changedAtMs = atMs;
    }

    /** Phase of an upload. */
    enum Phase {
        OPEN,
        SEALED,
        SAME_AS_EARLIER,
        CONFLICTING
    }
}
