package org.cornelcrank.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.client.JobClient;
import org.cornelcrank.cli.console.Console;
import org.cornelcrank.cli.console.JsonTables;
import org.cornelcrank.cli.console.TextTable;

/**
 * The commands that submit, show, list and cancel batch jobs.
 *
 * <p>Stateless, thus thread-safe.
 */
final class JobCommands {

    private static final List<String> ENDPOINTS = List.of("/v1/chat/completions", "/v1/completions");
    private static final String OUTPUT = "output";

    private JobCommands() {}

    static List<Command> all() {
        return List.of(new Submit(), new Status(), new Results(), new Cancel(), new ListAll());
    }

    private static ExitCode show(Invocation invocation, JsonNode job) {
        if (invocation.json()) {
            JsonTables.printJson(job, invocation.console());
        } else {
            printJobs(List.of(job), invocation.console());
        }
        return job.path("status").asText().equals("failed") ? ExitCode.FAILED : ExitCode.OK;
    }

    private static void printJobs(Iterable<JsonNode> jobs, Console console) {
        List<List<String>> rows = new ArrayList<>();
        for (JsonNode job : jobs) {
            JsonNode counts = job.path("request_counts");
            rows.add(List.of(
                    job.path("id").asText(),
                    job.path("status").asText(),
                    counts.path("total").asText("-"),
                    counts.path("completed").asText("-"),
                    counts.path("failed").asText("-")));
        }
        TextTable.print(List.of("JOB", "STATUS", "ITEMS", "COMPLETED", "FAILED"), rows, "no jobs", console);
    }

    private static ExitCode writeResults(Invocation invocation, String lines) {
        if (!invocation.has(OUTPUT)) {
            invocation.console().out().print(lines);
            return ExitCode.OK;
        }
        Path file = Path.of(invocation.option(OUTPUT, ""));
        try {
            Files.writeString(file, lines, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CommandFailure(ExitCode.FAILED, "cannot write " + file + ": " + e.getMessage());
        }
        invocation.console().line("wrote " + lines.lines().count() + " lines to " + file);
        return ExitCode.OK;
    }

    /** Submits a file of items as one job. */
    private static final class Submit implements Command {
        @Override
        public String name() {
            return "job submit";
        }

        @Override
        public String summary() {
            return "submit a JSONL file as one batch job; submitting the same file again returns the same job";
        }

        @Override
        public String arguments() {
            return "FILE";
        }

        @Override
        public Options options() {
            return new Options()
                    .addOption(CommandOptions.valued(
                            "endpoint", "PATH", "one of " + String.join(", ", ENDPOINTS) + "; default the first"))
                    .addOption(CommandOptions.valued(
                            "window", "TIME", "time until completion, for example 8h; default 24h"))
                    .addOption(CommandOptions.valued(
                            "idempotency-key", "KEY", "idempotency key of the job; default derived from the content"))
                    .addOption(CommandOptions.flag("wait", "wait until the job has ended"))
                    .addOption(CommandOptions.valued(OUTPUT, "FILE", "with --wait: write the results to this file"));
        }

        @Override
        public List<String> examples() {
            return List.of("job submit visits.jsonl --wait --output summaries.jsonl", "job submit notes.jsonl --json");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            String endpoint = invocation.choice("endpoint", JobClient.DEFAULT_ENDPOINT, ENDPOINTS);
            Path file = Invocation.readableFile(invocation.argument(0, "FILE"));
            JobClient jobs = new JobClient(invocation.daemon());
            JsonNode job = jobs.submit(
                    file,
                    endpoint,
                    invocation.option("window", JobClient.DEFAULT_WINDOW),
                    invocation.option("idempotency-key", ""));
            if (!invocation.has("wait")) {
                return show(invocation, job);
            }
            JsonNode ended = jobs.await(job.path("id").asText(), invocation.console()::progress);
            ExitCode shown = show(invocation, ended);
            if (invocation.has(OUTPUT)) {
                writeResults(invocation, jobs.results(ended));
            }
            return shown;
        }
    }

    /** Shows the progress of one job, or waits until it has ended. */
    private static final class Status implements Command {
        @Override
        public String name() {
            return "job status";
        }

        @Override
        public String summary() {
            return "show the progress of a job";
        }

        @Override
        public String arguments() {
            return "JOB";
        }

        @Override
        public Options options() {
            return new Options().addOption(CommandOptions.flag("wait", "wait until the job has ended"));
        }

        @Override
        public List<String> examples() {
            return List.of("job status batch-7f3a", "job status batch-7f3a --wait");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            JobClient jobs = new JobClient(invocation.daemon());
            String id = invocation.argument(0, "JOB");
            return show(
                    invocation,
                    invocation.has("wait") ? jobs.await(id, invocation.console()::progress) : jobs.status(id));
        }
    }

    /** Writes the results of one job. */
    private static final class Results implements Command {
        @Override
        public String name() {
            return "job results";
        }

        @Override
        public String summary() {
            return "write the result lines of a job, those of failed items last";
        }

        @Override
        public String arguments() {
            return "JOB";
        }

        @Override
        public Options options() {
            return new Options().addOption(CommandOptions.valued(OUTPUT, "FILE", "write the results to this file"));
        }

        @Override
        public List<String> examples() {
            return List.of("job results batch-7f3a --output summaries.jsonl");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            JobClient jobs = new JobClient(invocation.daemon());
            return writeResults(invocation, jobs.results(jobs.status(invocation.argument(0, "JOB"))));
        }
    }

    /** Cancels one job. */
    private static final class Cancel implements Command {
        @Override
        public String name() {
            return "job cancel";
        }

        @Override
        public String summary() {
            return "cancel a job; results of items that have already ended stay readable";
        }

        @Override
        public String arguments() {
            return "JOB";
        }

        @Override
        public List<String> examples() {
            return List.of("job cancel batch-7f3a");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            return show(invocation, new JobClient(invocation.daemon()).cancel(invocation.argument(0, "JOB")));
        }
    }

    /** Lists the jobs of the team to which the API key belongs. */
    private static final class ListAll implements Command {
        @Override
        public String name() {
            return "job list";
        }

        @Override
        public String summary() {
            return "list the jobs of the key's team, newest first";
        }

        @Override
        public Options options() {
            return new Options()
                    .addOption(CommandOptions.valued("limit", "N", "maximum number of jobs, 1 to 100; default 20"));
        }

        @Override
        public List<String> examples() {
            return List.of("job list", "job list --limit 100 --json");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            JsonNode response = new JobClient(invocation.daemon()).list(invocation.number("limit", 20, 1, 100));
            if (invocation.json()) {
                JsonTables.printJson(response, invocation.console());
            } else {
                printJobs(response.path("data"), invocation.console());
            }
            return ExitCode.OK;
        }
    }
}
