package org.cornelcrank.server.http;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import org.cornelcrank.batch.CancelJob;
import org.cornelcrank.batch.CreateJob;
import org.cornelcrank.batch.GetJob;
import org.cornelcrank.batch.JobInfo;
import org.cornelcrank.batch.JobList;
import org.cornelcrank.batch.ListJobs;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.RefusalCode;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Routes for batch jobs.
 *
 * <p>Thread-safe.
 */
final class BatchRoutes implements RouteGroup {

    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final Pattern WINDOW = Pattern.compile("(\\d{1,6})([smh])");
    private static final int MAX_METADATA = 16;
    private static final int DEFAULT_LIMIT = 20;
    private static final int MAX_LIMIT = 100;

    private final CoreCommands commands;
    private final ResponseWriter writer;
    private final RequestBodies bodies;
    private final BatchViews views;

    BatchRoutes(CoreCommands commands, ResponseWriter writer, RequestBodies bodies, BatchViews views) {
        this.commands = commands;
        this.writer = writer;
        this.bodies = bodies;
        this.views = views;
    }

    @Override
    public void addTo(GuardedRoutes routes) {
        routes.on(HttpMethod.POST, "/v1/batches", Caller.Scope.CALLER, this::create);
        routes.on(HttpMethod.GET, "/v1/batches", Caller.Scope.CALLER, this::list);
        routes.on(HttpMethod.GET, "/v1/batches/{id}", Caller.Scope.CALLER, this::describe);
        routes.on(HttpMethod.POST, "/v1/batches/{id}/cancel", Caller.Scope.CALLER, this::cancel);
    }

    private Mono<Void> create(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        return bodies.read(request).flatMap(body -> {
            JsonNode job = bodies.parseObject(body);
            String input = job.path("input_file_id").asText();
            if (!Names.isName(input)) {
                throw invalid("'input_file_id' must be the id of an uploaded file");
            }
            CreateJob command = new CreateJob(
                    new FileId(input),
                    job.path("endpoint").asText("/v1/chat/completions"),
                    Optional.ofNullable(request.requestHeaders().get(IDEMPOTENCY_KEY)),
                    windowMs(authenticated, job.path("completion_window")),
                    metadata(job.path("metadata")));
            return show(response, commands.run(authenticated.caller(), command, JobInfo.class));
        });
    }

    private Mono<Void> list(AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        QueryParameters query = new QueryParameters(request);
        int limit = (int) query.number("limit", DEFAULT_LIMIT, 1, MAX_LIMIT);
        return commands.run(
                        authenticated.caller(), new ListJobs(query.text("after").map(JobId::new), limit), JobList.class)
                .flatMap(list -> writer.send(response, ResponseWriter.Rendered.json(views.jobs(list))));
    }

    private Mono<Void> describe(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        return show(response, commands.run(authenticated.caller(), new GetJob(jobId(request)), JobInfo.class));
    }

    private Mono<Void> cancel(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        return show(response, commands.run(authenticated.caller(), new CancelJob(jobId(request)), JobInfo.class));
    }

    private Mono<Void> show(HttpServerResponse response, Mono<JobInfo> job) {
        return job.flatMap(info -> writer.send(response, ResponseWriter.Rendered.json(views.job(info))));
    }

    private static long windowMs(AuthenticatedCaller authenticated, JsonNode window) {
        if (window.isMissingNode()) {
            return authenticated.requirePolicy().batchDeadlineMs();
        }
        Matcher matcher = WINDOW.matcher(window.asText());
        if (!matcher.matches()) {
            throw invalid("'completion_window' must look like 24h, 90m or 300s but was '" + window.asText() + "'");
        }
        long count = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "h" -> TimeUnit.HOURS.toMillis(count);
            case "m" -> TimeUnit.MINUTES.toMillis(count);
            default -> TimeUnit.SECONDS.toMillis(count);
        };
    }

    private static Map<String, String> metadata(JsonNode node) {
        Map<String, String> metadata = new TreeMap<>();
        node.properties()
                .forEach(entry -> metadata.put(entry.getKey(), entry.getValue().asText()));
        if (metadata.size() > MAX_METADATA) {
            throw invalid("'metadata' must have at most " + MAX_METADATA + " entries");
        }
        return metadata;
    }

    private static JobId jobId(HttpServerRequest request) {
        String id = request.param("id");
        if (!Names.isName(id)) {
            throw RefusedException.notRun(RefusalCode.NOT_FOUND, "no job has the id '" + id + "'");
        }
        return new JobId(id);
    }

    private static RefusedException invalid(String message) {
        return RefusedException.notRun(RefusalCode.INVALID_REQUEST, message);
    }
}
