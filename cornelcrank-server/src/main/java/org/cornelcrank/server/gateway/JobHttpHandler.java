package org.cornelcrank.server.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.gateway.GatewayRoute;
import org.cornelcrank.gateway.http.GatewayDialect;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.job.EndJob;
import org.cornelcrank.job.ItemBody;
import org.cornelcrank.job.JobAccepted;
import org.cornelcrank.job.JobDialect;
import org.cornelcrank.job.JobEnded;
import org.cornelcrank.job.JobPage;
import org.cornelcrank.job.SubmitJob;
import org.cornelcrank.server.http.RequestGate;
import org.cornelcrank.server.loop.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles callers' HTTP requests about jobs: submits them to the core as commands and writes its replies.
 *
 * <p>Not thread-safe: confined to the event loop.
 */
final class JobHttpHandler {

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.job");

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final TeamPath JOBS = new TeamPath("/jobs");

    /** Timeout of a submission without a deadline from the caller, in ms. */
    private static final long SUBMISSION_TIMEOUT_MS = 3_000;

    private final GatewayCommands commands;
    private final MonotonicClock clock;
    private final JobDialect dialect;
    private final GatewayDialect gatewayDialect;
    private final RequestGate requests;

    JobHttpHandler(
            GatewayCommands commands,
            MonotonicClock clock,
            JobDialect dialect,
            GatewayDialect gatewayDialect,
            RequestGate requests) {
        this.commands = Objects.requireNonNull(commands, "commands must not be null");
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.dialect = Objects.requireNonNull(dialect, "dialect must not be null");
        this.gatewayDialect = Objects.requireNonNull(gatewayDialect, "gatewayDialect must not be null");
        this.requests = Objects.requireNonNull(requests, "requests must not be null");
    }

    /** Handles a call about a job that was submitted before; returns empty if the request is not such a call. */
    Optional<Mono<Void>> handle(HttpServerRequest request, HttpServerResponse response) {
        JobDialect.CallResult result =
                dialect.readCall(request.method().name(), request.uri(), request.requestHeaders(), clock.nowMs());
        if (result instanceof JobDialect.CallResult.NotAJobCall) {
            return Optional.empty();
        }
        if (result instanceof JobDialect.CallResult.Invalid invalid) {
            return Optional.of(refuse(response, Refusal.notRun(RefusalCode.INVALID_REQUEST, invalid.reason())));
        }
        return Optional.of(execute(((JobDialect.CallResult.Valid) result).command(), response));
    }

    Mono<Void> submit(GatewayRoute route, RequestHead head, byte[] body, HttpServerResponse response) {
        if (!Names.isName(head.requestId())) {
            return refuse(
                    response, Refusal.notRun(RefusalCode.INVALID_REQUEST, "the id of a job must be a single name"));
        }
        JobDialect.SubmissionResult result = dialect.readSubmission(head.host(), body);
        if (result instanceof JobDialect.SubmissionResult.Invalid invalid) {
            return refuse(response, Refusal.notRun(RefusalCode.INVALID_REQUEST, invalid.reason()));
        }
        long timeoutMs = Math.min(head.deadlineMs().orElse(SUBMISSION_TIMEOUT_MS), route.timeoutMs());
        return execute(
                new SubmitJob(
                        new JobId(head.requestId()),
                        ((JobDialect.SubmissionResult.Valid) result).content(),
                        clock.nowMs() + timeoutMs),
                response);
    }

    private Mono<Void> execute(CallerCommand command, HttpServerResponse response) {
        long submittedAtMs = clock.nowMs();
        if (!requests.accepts(endsAtMs(command, submittedAtMs))) {
            log(command, RequestGate.STOPPING, 0);
            return refuse(response, RequestGate.STOPPING);
        }
        return commands.submit(JOBS, Caller.Scope.CALLER, command)
                .doOnCancel(() -> log(command, "the caller left", clock.nowMs() - submittedAtMs))
                .flatMap(reply -> {
                    if (reply instanceof JobAccepted || reply instanceof JobEnded || reply instanceof Refusal) {
                        log(command, reply, clock.nowMs() - submittedAtMs);
                    }
                    return write(reply, response);
                });
    }

    /** Returns when a command ends at the latest, in ms; reads end with what they have whenever a stop does. */
    private static long endsAtMs(CallerCommand command, long nowMs) {
        if (command instanceof SubmitJob submit) {
            return submit.deadlineAtMs();
        }
        return command instanceof EndJob end ? end.deadlineAtMs() : nowMs;
    }

    /** Logs the outcome of a command; successful reads are not logged, as there are too many. */
    private static void log(CallerCommand command, Object outcome, long tookMs) {
        LOGGER.atInfo()
                .addKeyValue("command", summary(command))
                .addKeyValue("tookMs", tookMs)
                .addKeyValue("outcome", outcome)
                .log("job command");
    }

    private static String summary(CallerCommand command) {
        return command instanceof SubmitJob submit
                ? "submit " + submit.job() + ", " + submit.content().items().size() + " items"
                : command.toString();
    }

    private Mono<Void> write(CallerReply reply, HttpServerResponse response) {
        if (reply instanceof JobAccepted) {
            return GatewayHttpServer.send(response.status(ACCEPTED), new byte[0]);
        }
        if (reply instanceof JobEnded) {
            return GatewayHttpServer.send(response.status(OK), new byte[0]);
        }
        if (reply instanceof JobPage page) {
            response.status(OK).header(HttpHeaderNames.CONTENT_TYPE, dialect.pageType());
            return GatewayHttpServer.send(response, dialect.write(page));
        }
        if (reply instanceof ItemBody body) {
            return GatewayHttpServer.send(response.status(OK), body.body().toByteArray());
        }
        return refuse(response, (Refusal) reply);
    }

    private Mono<Void> refuse(HttpServerResponse response, Refusal refusal) {
        response.status(gatewayDialect.status(refusal));
        GatewayHttpServer.copy(gatewayDialect.refusalHeaders(refusal, null), response);
        return GatewayHttpServer.send(response, (refusal.message() + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
