package org.cornelcrank.cli;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.fleet.FleetPlan;
import org.cornelcrank.cli.fleet.LocalFleet;

/** Runs a complete deployment in this process and demonstrates it. Stateless, thus thread-safe. */
final class DemoCommand implements Command {

    private static final List<String> DEPLOYMENTS = List.of("nilavu", "tatranske");

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "run a deployment with stand-ins in this process: streamed responses alongside a batch job";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.valued("deployment", "NAME", "nilavu or tatranske; default nilavu"))
                .addOption(CommandOptions.flag(
                        "stay", "keep the deployment running until interrupted, so that it can be called with curl"));
    }

    @Override
    public List<String> examples() {
        return List.of("demo", "demo --deployment tatranske --stay");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String deployment = invocation.choice("deployment", DEPLOYMENTS.get(0), DEPLOYMENTS);
        long startedMs = System.currentTimeMillis();
        try (LocalFleet fleet = new LocalFleet(FleetPlan.named(deployment), List.of("--drain-delay-ms", "100"))) {
            fleet.start();
            DemoRunner runner = new DemoRunner(fleet, DemoScript.of(deployment), invocation.console());
            boolean success = runner.run(System.currentTimeMillis() - startedMs);
            if (invocation.has("stay")) {
                runner.showHowToCall();
                awaitInterrupt();
            }
            return success ? ExitCode.OK : ExitCode.FAILED;
        } catch (IOException e) {
            throw new CommandFailure(ExitCode.FAILED, "the demonstration could not start: " + e.getMessage());
        }
    }

    private static void awaitInterrupt() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
