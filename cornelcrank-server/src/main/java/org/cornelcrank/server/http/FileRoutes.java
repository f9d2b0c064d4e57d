package org.cornelcrank.server.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.multipart.FileUpload;
import io.netty.handler.codec.http.multipart.HttpData;
import org.cornelcrank.batch.FileInfo;
import org.cornelcrank.batch.FilePage;
import org.cornelcrank.batch.GetFile;
import org.cornelcrank.batch.GetJob;
import org.cornelcrank.batch.JobInfo;
import org.cornelcrank.batch.JobOutputFile;
import org.cornelcrank.batch.ReadFile;
import org.cornelcrank.batch.ReadResults;
import org.cornelcrank.batch.ResultPage;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.ServiceName;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Routes for uploads of batch items and for the contents of files.
 *
 * <p>Thread-safe.
 */
final class FileRoutes implements RouteGroup {

    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String PURPOSE = "purpose";
    private static final String BATCH_PURPOSE = "batch";
    private static final String FILE_PART = "file";
    private static final int PAGE_ITEMS = 500;

    private final CoreCommands commands;
    private final ResponseWriter writer;
    private final BatchViews views;
    private final ObjectMapper json;

    FileRoutes(CoreCommands commands, ResponseWriter writer, BatchViews views, ObjectMapper json) {
        this.commands = commands;
        this.writer = writer;
        this.views = views;
        this.json = json;
    }

    @Override
    public void addTo(GuardedRoutes routes) {
        routes.on(HttpMethod.POST, "/v1/files", Caller.Scope.CALLER, this::upload);
        routes.on(HttpMethod.GET, "/v1/files/{id}", Caller.Scope.CALLER, this::describe);
        routes.on(HttpMethod.GET, "/v1/files/{id}/content", Caller.Scope.CALLER, this::content);
    }

    private Mono<Void> upload(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        if (!request.isMultipart()) {
            throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, "body must be multipart/form-data");
        }
        Set<String> models = authenticated.requirePolicy().services().stream()
                .map(ServiceName::value)
                .collect(Collectors.toSet());
        FileUploadSession session = new FileUploadSession(
                commands,
                authenticated.caller(),
                Optional.ofNullable(request.requestHeaders().get(IDEMPOTENCY_KEY)),
                new BatchLineValidator(json, models));
        UploadForm form = new UploadForm();
        return request.receiveForm(spec -> spec.streaming(true))
                .map(FormPart::copyOf)
                .concatMap(part -> accept(part, form, session), 1)
                .then(Mono.defer(() -> finish(form, session)))
                .flatMap(file -> writer.send(response, ResponseWriter.Rendered.json(views.file(file))))
                .onErrorResume(error -> session.abandon().then(Mono.error(error)));
    }

    private static Mono<Void> accept(FormPart part, UploadForm form, FileUploadSession session) {
        if (part.fileName().isPresent() && part.name().equals(FILE_PART)) {
            form.fileName = part.fileName().get();
            return session.accept(form.fileName, part.bytes());
        }
        if (part.name().equals(PURPOSE)) {
            form.purpose += new String(part.bytes(), StandardCharsets.UTF_8);
        }
        return Mono.empty();
    }

    private static Mono<FileInfo> finish(UploadForm form, FileUploadSession session) {
        if (!form.purpose.equals(BATCH_PURPOSE)) {
            throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, "form field 'purpose' must be 'batch'");
        }
        if (form.fileName == null) {
            throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, "form field 'file' is missing");
        }
        return session.finish(form.fileName);
    }

    private Mono<Void> describe(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        FileId id = fileId(request);
        Optional<JobOutputFile> output = JobOutputFile.parse(id);
        Mono<JsonNode> view = output.isPresent()
                ? commands.run(authenticated.caller(), new GetJob(output.get().job()), JobInfo.class)
                        .map(job -> views.outputFile(output.get(), job))
                : commands.run(authenticated.caller(), new GetFile(id), FileInfo.class)
                        .map(views::file);
        return view.flatMap(node -> writer.send(response, ResponseWriter.Rendered.json(node)));
    }

    private Mono<Void> content(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        FileId id = fileId(request);
        Optional<JobOutputFile> output = JobOutputFile.parse(id);
        Flux<byte[]> lines = output.isPresent()
                ? results(authenticated.caller(), output.get())
                : uploadedLines(authenticated.caller(), id);
        return lines.publishOn(ConnectionThread.of(response), 1)
                .switchOnFirst((first, all) -> {
                    if (first.isOnError()) {
                        return Flux.error(first.getThrowable());
                    }
                    return response.header(HttpHeaderNames.CONTENT_TYPE, "application/jsonl")
                            .sendByteArray(all)
                            .then();
                })
                .then();
    }

    private Flux<byte[]> uploadedLines(Caller caller, FileId id) {
        return uploadedPage(caller, id, 0)
                .expand(page -> page.complete() ? Mono.empty() : uploadedPage(caller, id, page.nextItem()))
                .concatMapIterable(FilePage::lines, 1)
                .map(line -> views.line(line.toByteArray()));
    }

    private Mono<FilePage> uploadedPage(Caller caller, FileId id, int fromItem) {
        return commands.runIdempotent(caller, new ReadFile(id, fromItem, PAGE_ITEMS), FilePage.class);
    }

    private Flux<byte[]> results(Caller caller, JobOutputFile output) {
        return commands.run(caller, new GetJob(output.job()), JobInfo.class)
                .flatMapMany(job -> resultPage(caller, output, 0)
                        .expand(page -> page.complete() || page.nextItem() >= job.total()
                                ? Mono.empty()
                                : resultPage(caller, output, page.nextItem()))
                        .concatMapIterable(ResultPage::lines, 1)
                        .filter(line -> line.failed() == output.failures())
                        .map(line -> views.result(output.job(), line)));
    }

    private Mono<ResultPage> resultPage(Caller caller, JobOutputFile output, int fromItem) {
        return commands.runIdempotent(caller, new ReadResults(output.job(), fromItem, PAGE_ITEMS), ResultPage.class);
    }

    private static FileId fileId(HttpServerRequest request) {
        String id = request.param("id");
        if (!Names.isName(id)) {
            throw RefusedException.notRun(RefusalCode.NOT_FOUND, "no file has the id '" + id + "'");
        }
        return new FileId(id);
    }

    /**
     * A part of the form, copied immediately, as the decoder writes the next part into the same object while this one
     * is pending.
     */
    private record FormPart(String name, Optional<String> fileName, byte[] bytes) {

        static FormPart copyOf(HttpData data) {
            Optional<String> fileName =
                    data instanceof FileUpload upload ? Optional.of(upload.getFilename()) : Optional.empty();
            return new FormPart(data.getName(), fileName, bytesOf(data));
        }

        private static byte[] bytesOf(HttpData data) {
            try {
                ByteBuf buffer = data.getByteBuf();
                return buffer == null ? new byte[0] : ByteBufUtil.getBytes(buffer);
            } catch (IOException e) {
                throw new UncheckedIOException("cannot read a part of the form", e);
            }
        }
    }

    /** The fields of the form received so far. */
    private static final class UploadForm {
        private String purpose = "";
        private String fileName;
    }
}
