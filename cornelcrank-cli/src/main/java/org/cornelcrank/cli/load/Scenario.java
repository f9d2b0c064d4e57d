package org.cornelcrank.cli.load;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cornelcrank.cli.fleet.FleetPlan;

/**
 * A load experiment in the JSON format documented in {@code docs/LOAD.md}.
 *
 * <p>Exactly one of {@code deployment} and {@code fleet} is set: the name of a bundled plan, or a plan. The first
 * {@code warmUpMs} of a run are not measured. Immutable, thus thread-safe.
 */
public record Scenario(
        String name,
        long seed,
        String deployment,
        FleetPlan fleet,
        List<String> policies,
        boolean directComparison,
        long warmUpMs,
        long durationMs,
        int maxRequests,
        List<OnlineStream> online,
        BatchBacklog batch,
        List<TimedFault> faults) {

    /** Selects the policy that daemons use by default. */
    static final String DEFAULT_POLICY = "default";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MAX_RUN_MS = 600_000;
    private static final int MAX_REQUESTS = 1_000_000;

    public Scenario {
        policies = policies == null || policies.isEmpty() ? List.of(DEFAULT_POLICY) : List.copyOf(policies);
        online = online == null ? List.of() : List.copyOf(online);
        faults = faults == null ? List.of() : List.copyOf(faults);
    }

    /** A stream of online requests; rates are in requests per second. */
    public record OnlineStream(
            String name,
            String key,
            String workload,
            String model,
            double requestsPerSecond,
            List<Burst> bursts,
            Prompts prompts) {

        public OnlineStream {
            bursts = bursts == null ? List.of() : List.copyOf(bursts);
        }

        /** Returns the rate at a time relative to the start of the run. */
        double rateAt(long atMs) {
            return bursts.stream()
                    .filter(burst -> burst.atMs() <= atMs && atMs < burst.atMs() + burst.forMs())
                    .mapToDouble(Burst::requestsPerSecond)
                    .max()
                    .orElse(requestsPerSecond);
        }
    }

    /** A period with a different rate; times are relative to the start of the run. */
    public record Burst(long atMs, long forMs, double requestsPerSecond) {}

    /** The shape of prompts: one of {@code sharedHeads} shared prefixes, followed by a unique text. */
    public record Prompts(
            int sharedHeads, int headCharacters, int tailCharacters, int minOutputTokens, int maxOutputTokens) {}

    /** Batch jobs submitted before the start of the run; there should be enough of them to outlast the run. */
    public record BatchBacklog(String key, String workload, String model, int jobs, int itemsPerJob, Prompts prompts) {}

    /** Faults of a stand-in that are set by {@code POST /faults} at a time of the run. */
    public record TimedFault(long atMs, String standIn, Map<String, Object> faults) {}

    /**
     * Reads a scenario from a file, or the bundled scenario of that name.
     *
     * @throws IllegalArgumentException if the scenario does not exist or is invalid; the message lists all problems
     */
    public static Scenario read(String fileOrName) throws IOException {
        Path file = Path.of(fileOrName);
        if (Files.isRegularFile(file)) {
            return parse(Files.readAllBytes(file), fileOrName);
        }
        try (InputStream resource = Scenario.class.getResourceAsStream("/scenarios/" + fileOrName + ".json")) {
            if (resource == null) {
                throw new IllegalArgumentException(
                        "no scenario file and no bundled scenario named '" + fileOrName + "'");
            }
            return parse(resource.readAllBytes(), fileOrName);
        }
    }

    static Scenario parse(byte[] json, String source) {
        Scenario scenario;
        try {
            scenario = JSON.readValue(json, Scenario.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(source + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new IllegalArgumentException(source + ": " + e.getMessage());
        }
        List<String> problems = scenario.problems();
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(source + ": " + String.join("; ", problems));
        }
        return scenario;
    }

    /** Returns the plan of the fleet to start. */
    public FleetPlan plan() {
        return fleet != null ? fleet : FleetPlan.named(deployment);
    }

    /** Returns this scenario with other policies. */
    public Scenario withPolicies(List<String> newPolicies) {
        return new Scenario(
                name,
                seed,
                deployment,
                fleet,
                newPolicies,
                directComparison,
                warmUpMs,
                durationMs,
                maxRequests,
                online,
                batch,
                faults);
    }

    long endMs() {
        return warmUpMs + durationMs;
    }

    private List<String> problems() {
        List<String> problems = new ArrayList<>();
        if ((deployment == null) == (fleet == null)) {
            problems.add("either 'deployment' or 'fleet' must be given, but not both");
        }
        if (warmUpMs < 0 || durationMs <= 0 || warmUpMs + durationMs > MAX_RUN_MS) {
            problems.add("'durationMs' must be above 0 and at most " + MAX_RUN_MS + " together with 'warmUpMs'");
        }
        if (maxRequests < 1 || maxRequests > MAX_REQUESTS) {
            problems.add("'maxRequests' must be from 1 to " + MAX_REQUESTS + " but was " + maxRequests);
        }
        if (online.isEmpty()) {
            problems.add("'online' must contain at least one stream");
        }
        for (OnlineStream stream : online) {
            problemsOf(stream, problems);
        }
        if (batch != null) {
            problemsOf(batch.prompts(), "batch", problems);
        }
        return problems;
    }

    private static void problemsOf(OnlineStream stream, List<String> problems) {
        if (!(stream.requestsPerSecond() > 0)) {
            problems.add("'requestsPerSecond' of " + stream.name() + " must be above 0");
        }
        problemsOf(stream.prompts(), stream.name(), problems);
    }

    private static void problemsOf(Prompts prompts, String owner, List<String> problems) {
        if (prompts == null) {
            problems.add("'prompts' of " + owner + " is missing");
        } else if (prompts.minOutputTokens() < 1 || prompts.maxOutputTokens() < prompts.minOutputTokens()) {
            problems.add("'minOutputTokens' of " + owner + " must be at least 1 and at most 'maxOutputTokens'");
        } else if (prompts.sharedHeads() < 1) {
            problems.add("'sharedHeads' of " + owner + " must be at least 1");
        }
    }
}
