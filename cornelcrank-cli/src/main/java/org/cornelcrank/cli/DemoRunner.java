package org.cornelcrank.cli;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.JobClient;
import org.cornelcrank.cli.client.StreamedResponse;
import org.cornelcrank.cli.client.StreamingClient;
import org.cornelcrank.cli.console.Console;
import org.cornelcrank.cli.fleet.LocalFleet;
import org.cornelcrank.standin.GeneratedText;

/**
 * Runs the steps of the demonstration against a started fleet and prints their results.
 *
 * <p>Blocks the calling thread. Not thread-safe.
 */
final class DemoRunner {

    private static final int RESPONSE_TOKENS = 24;
    private static final int MAX_SHOWN_RESULTS = 3;

    private final LocalFleet fleet;
    private final DemoScript script;
    private final Console console;
    private final String bearer;

    DemoRunner(LocalFleet fleet, DemoScript script, Console console) {
        this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
        this.script = Objects.requireNonNull(script, "script must not be null");
        this.console = Objects.requireNonNull(console, "console must not be null");
        this.bearer = fleet.bearer(script.keyId());
    }

    /** Runs the demonstration and returns whether every response was complete and nothing was lost or duplicated. */
    boolean run(long startupMs) throws IOException {
        console.line("deployment " + fleet.plan().deployment() + ": "
                + fleet.entryHosts().size() + " daemons, "
                + fleet.engines().size() + " model engines and "
                + fleet.plainServices().size() + " plain services in regions "
                + fleet.plan().regions() + ", ready after " + startupMs + " ms");
        LocalFleet.EntryHost firstHost = fleet.entryHosts().get(0);
        JobClient jobs = new JobClient(new DaemonClient(firstHost.url(), bearer));
        console.line("");
        DemoBatch batch = DemoBatch.read(script.batchFile());
        JsonNode job = batch.submit(jobs);
        console.line(
                "submitted " + batch.fileName() + " as job " + job.path("id").asText() + " with "
                        + job.path("request_counts").path("total").asInt() + " items");
        boolean responsesComplete = streamResponses();
        boolean callRanOnce = repeatPlainCall();
        boolean jobComplete = showJobResults(jobs, batch, job);
        console.line("");
        boolean success = responsesComplete && callRanOnce && jobComplete;
        console.line(
                success
                        ? "all responses are complete, and nothing is lost or duplicated"
                        : "something went wrong, see above");
        return success;
    }

    /** Prints the URLs of the daemons and example commands for calling the running deployment. */
    void showHowToCall() {
        console.line("");
        console.line("daemons:");
        fleet.entryHosts().forEach(host -> console.line("  " + host.name() + "  " + host.url()));
        String url = fleet.entryHosts().get(0).url();
        console.line("try:");
        console.line("  curl -N " + url + "/v1/chat/completions -H 'Authorization: Bearer " + bearer
                + "' -H 'Cornelcrank-Workload: " + script.workload() + "' -d '{\"model\":\"" + script.model()
                + "\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'");
        console.line("  curl " + url + "/v1/models -H 'Authorization: Bearer " + bearer + "'");
        console.line("  bin/cornelcrank dump --url " + url + " --key " + fleet.operatorBearer());
        console.line("  bin/cornelcrank config list --url " + url + " --key " + fleet.operatorBearer());
        console.line("stop with Ctrl-C");
    }

    private boolean streamResponses() {
        boolean allComplete = true;
        List<LocalFleet.EntryHost> hosts = fleet.entryHosts();
        for (int i = 0; i < script.questions().size(); i++) {
            LocalFleet.EntryHost host = hosts.get(i % hosts.size());
            String question = script.questions().get(i);
            StreamedResponse response = new StreamingClient(host.url(), bearer, script.workload())
                    .chat(script.model(), script.systemText(), question, RESPONSE_TOKENS);
            String expected =
                    GeneratedText.of("system: " + script.systemText() + "\nuser: " + question + "\n", RESPONSE_TOKENS);
            allComplete &= response.text().equals(expected);
            console.line("");
            console.line(script.workload() + " at " + host.name() + ": " + question);
            console.line("  " + response.text());
            console.line("  first token after " + response.firstTokenMs() + " ms, " + response.tokens() + " tokens in "
                    + response.totalMs() + " ms" + (response.text().equals(expected) ? "" : " INCOMPLETE"));
        }
        return allComplete;
    }

    private boolean repeatPlainCall() {
        console.line("");
        String path = "/s/" + script.plainService() + script.plainPath();
        String firstResponse = "";
        for (LocalFleet.EntryHost host : fleet.entryHosts().subList(0, 2)) {
            String response = new DaemonClient(host.url(), bearer)
                    .post(path, Map.of("demo", true), Map.of("Idempotency-Key", "demo-1"))
                    .text();
            console.line("POST " + path + " at " + host.name() + " with Idempotency-Key demo-1: " + response);
            firstResponse = firstResponse.isEmpty() ? response : firstResponse;
        }
        long runs = fleet.plainServices().stream()
                .mapToLong(service -> service.calls().size())
                .sum();
        console.line("  the service ran it " + runs + (runs == 1 ? " time" : " times"));
        return runs == 1;
    }

    private boolean showJobResults(JobClient jobs, DemoBatch batch, JsonNode submitted) throws IOException {
        JsonNode ended = jobs.await(submitted.path("id").asText(), console::progress);
        JsonNode counts = ended.path("request_counts");
        List<String> lines = jobs.results(ended).lines().toList();
        console.line("");
        console.line(
                "job " + ended.path("id").asText() + " " + ended.path("status").asText() + ": "
                        + counts.path("completed").asInt() + " of "
                        + counts.path("total").asInt() + " items completed, "
                        + counts.path("failed").asInt() + " failed; " + lines.size() + " result lines, the first "
                        + MAX_SHOWN_RESULTS + ":");
        for (String line : lines.subList(0, Math.min(MAX_SHOWN_RESULTS, lines.size()))) {
            console.line("  " + DemoBatch.customIdOf(line) + ": " + DemoBatch.contentOf(line));
        }
        return batch.matchesResults(lines);
    }
}
