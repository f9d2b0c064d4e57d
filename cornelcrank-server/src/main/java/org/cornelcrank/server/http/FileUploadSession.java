package org.cornelcrank.server.http;

import java.io.ByteArrayOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.batch.AbandonFile;
import org.cornelcrank.batch.AddItems;
import org.cornelcrank.batch.FileAbandoned;
import org.cornelcrank.batch.FileInfo;
import org.cornelcrank.batch.FileOpened;
import org.cornelcrank.batch.FileSealed;
import org.cornelcrank.batch.ItemsAdded;
import org.cornelcrank.batch.OpenFile;
import org.cornelcrank.batch.SealFile;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.RefusalCode;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Stores one upload of batch items: reads it line by line and stores the lines in groups.
 *
 * <p>Invariant: at most one group and the head of the file are held in memory; a group is sent only after the previous
 * one has been stored. A file is valid only after it has been sealed. Not thread-safe: its methods are called in
 * sequence.
 */
final class FileUploadSession {

    private static final int HEAD_BYTES = 64 * 1024;
    private static final int GROUP_BYTES = 256 * 1024;
    private static final int MAX_LINE_BYTES = 512 * 1024;
    private static final String DIGEST = "SHA-256";

    private final CoreCommands commands;
    private final Caller caller;
    private final Optional<String> idempotencyKey;
    private final BatchLineValidator validator;
    private final LineSplitter splitter = new LineSplitter(MAX_LINE_BYTES);
    private final MessageDigest contentDigest = newDigest();
    private final ByteArrayOutputStream head = new ByteArrayOutputStream();
    private final List<ByteString> group = new ArrayList<>();
    private int groupBytes;
    private int sentItems;
    private FileId file;

    FileUploadSession(
            CoreCommands commands, Caller caller, Optional<String> idempotencyKey, BatchLineValidator validator) {
        this.commands = commands;
        this.caller = caller;
        this.idempotencyKey = idempotencyKey;
        this.validator = validator;
    }

    /** Accepts the next bytes; completes when further bytes can be accepted. */
    Mono<Void> accept(String fileName, byte[] bytes) {
        if (head.size() < HEAD_BYTES) {
            head.write(bytes, 0, Math.min(bytes.length, HEAD_BYTES - head.size()));
        }
        splitter.accept(bytes).forEach(this::addLine);
        if (groupBytes < GROUP_BYTES) {
            return Mono.empty();
        }
        return open(fileName).then(Mono.defer(this::sendGroups));
    }

    /** Completes the upload and returns the sealed file. */
    Mono<FileInfo> finish(String fileName) {
        splitter.finish().ifPresent(this::addLine);
        if (validator.lines() == 0) {
            throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, "file must contain at least one line");
        }
        validator.requireDistinctIds();
        String digest = HexFormat.of().formatHex(contentDigest.digest());
        return open(fileName)
                .then(Mono.defer(this::sendGroups))
                .then(Mono.defer(() -> commands.runIdempotent(
                        caller, new SealFile(file, validator.lines(), digest), FileSealed.class)))
                .map(FileSealed::file);
    }

    /** Abandons the upload; none of its items is used. */
    Mono<Void> abandon() {
        if (file == null) {
            return Mono.empty();
        }
        return commands.run(caller, new AbandonFile(file), FileAbandoned.class)
                .onErrorResume(RefusedException.class, refused -> Mono.empty())
                .then();
    }

    private void addLine(byte[] line) {
        validator.accept(line);
        contentDigest.update(line);
        contentDigest.update((byte) '\n');
        group.add(ByteString.copyFrom(line));
        groupBytes += line.length;
    }

    private Mono<Void> open(String fileName) {
        if (file != null) {
            return Mono.empty();
        }
        MessageDigest headDigest = newDigest();
        String digest = HexFormat.of().formatHex(headDigest.digest(head.toByteArray()));
        return commands.runIdempotent(caller, new OpenFile(fileName, idempotencyKey, digest), FileOpened.class)
                .doOnNext(opened -> file = opened.file())
                .then();
    }

    private Mono<Void> sendGroups() {
        List<AddItems> groups = takeGroups();
        return Flux.fromIterable(groups)
                .concatMap(items -> commands.runIdempotent(caller, items, ItemsAdded.class), 1)
                .then();
    }

    private List<AddItems> takeGroups() {
        List<AddItems> groups = new ArrayList<>();
        List<ByteString> lines = new ArrayList<>();
        int bytes = 0;
        for (ByteString line : group) {
            if (!lines.isEmpty() && bytes + line.size() > GROUP_BYTES) {
                groups.add(new AddItems(file, sentItems, lines));
                sentItems += lines.size();
                lines = new ArrayList<>();
                bytes = 0;
            }
            lines.add(line);
            bytes += line.size();
        }
        if (!lines.isEmpty()) {
            groups.add(new AddItems(file, sentItems, lines));
            sentItems += lines.size();
        }
        group.clear();
        groupBytes = 0;
        return groups;
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(DIGEST);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(DIGEST + " must be available", e);
        }
    }
}
