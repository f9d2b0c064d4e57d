package org.cornelcrank.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.console.Console;
import org.cornelcrank.cli.console.JsonTables;
import org.cornelcrank.cli.console.TextTable;
import org.cornelcrank.cli.load.LoadPage;
import org.cornelcrank.cli.load.LoadTables;
import org.cornelcrank.cli.load.RunResult;
import org.cornelcrank.cli.load.Scenario;
import org.cornelcrank.cli.load.ScenarioRunner;

/** Runs a load scenario and reports its measurements. Stateless, thus thread-safe. */
final class LoadCommand implements Command {

    private static final String SCENARIO = "scenario";
    private static final String POLICIES = "policies";
    private static final String PAGE = "page";

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "run a scenario of online and batch load on a fleet in this process and report measurements";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.valued(
                        SCENARIO, "FILE", "a scenario file, or one of nilavu, tatranske, added-latency"))
                .addOption(CommandOptions.valued(POLICIES, "NAME,...", "run these policies instead of the scenario's"))
                .addOption(CommandOptions.valued(PAGE, "FILE", "write an HTML report with plots to this file"));
    }

    @Override
    public List<String> examples() {
        return List.of(
                "load --scenario nilavu",
                "load --scenario nilavu --policies prefix-affinity,round-robin",
                "load --scenario mine.json --json --page report.html");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        if (!invocation.has(SCENARIO)) {
            throw new CommandFailure(ExitCode.USAGE, "missing option --" + SCENARIO);
        }
        try {
            Scenario scenario = read(invocation);
            List<RunResult> results = new ScenarioRunner(scenario, invocation.console()::progress).run();
            show(invocation, scenario, results);
            if (invocation.has(PAGE)) {
                new LoadPage(scenario, results).write(Path.of(invocation.option(PAGE, "")));
            }
            return ExitCode.OK;
        } catch (IllegalArgumentException e) {
            throw new CommandFailure(ExitCode.USAGE, e.getMessage());
        } catch (IOException e) {
            throw new CommandFailure(ExitCode.FAILED, "the scenario failed: " + e.getMessage());
        }
    }

    private static Scenario read(Invocation invocation) throws IOException {
        Scenario scenario = Scenario.read(invocation.option(SCENARIO, ""));
        return invocation.has(POLICIES)
                ? scenario.withPolicies(List.of(invocation.option(POLICIES, "").split(",")))
                : scenario;
    }

    private static void show(Invocation invocation, Scenario scenario, List<RunResult> results) {
        Console console = invocation.console();
        if (invocation.json()) {
            JsonTables.printJson(
                    DaemonClient.JSON.valueToTree(Map.of("scenario", scenario.name(), "runs", results)), console);
            return;
        }
        console.line("scenario " + scenario.name() + ", seed " + scenario.seed() + ", " + scenario.durationMs()
                + " ms measured after " + scenario.warmUpMs() + " ms; times in ms");
        console.line("");
        TextTable.print(LoadTables.LATENCY_HEADINGS, LoadTables.latencyRows(results), "(none)", console);
        console.line("");
        TextTable.print(LoadTables.FLEET_HEADINGS, LoadTables.fleetRows(results), "(none)", console);
        console.line("");
        LoadTables.comparisons(results).forEach(console::line);
        LoadTables.addedLatency(results).forEach(console::line);
    }
}
