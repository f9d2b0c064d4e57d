package org.cornelcrank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BiFunction;

import com.fasterxml.jackson.core.type.TypeReference;
import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.standin.EngineSettings;
import org.cornelcrank.standin.EngineStandIn;
import org.cornelcrank.standin.HostListSettings;
import org.cornelcrank.standin.HostListStandIn;
import org.cornelcrank.standin.ListedHost;
import org.cornelcrank.standin.LogSettings;
import org.cornelcrank.standin.LogStandIn;
import org.cornelcrank.standin.PlainServiceSettings;
import org.cornelcrank.standin.PlainServiceStandIn;
import org.cornelcrank.standin.StandIn;
import org.cornelcrank.standin.WeightStoreSettings;
import org.cornelcrank.standin.WeightStoreStandIn;

/**
 * The commands that each run one stand-in until the process is stopped.
 *
 * <p>Stateless, thus thread-safe.
 */
final class StandInCommands {

    private static final int MAX_PORT = 65_535;
    private static final long MAX_TIME_MS = 86_400_000L * 366;

    private StandInCommands() {}

    static List<Command> all() {
        return List.of(
                new Start(
                        "log",
                        "the platform's log service",
                        new Options()
                                .addOption(CommandOptions.valued("retention-ms", "MS", "default one day"))
                                .addOption(CommandOptions.valued("appends-per-second", "N", "default 400")),
                        StandInCommands::log),
                new Start(
                        "hosts",
                        "the platform's list of hosts",
                        new Options()
                                .addOption(CommandOptions.valued("lag-ms", "MS", "default 0"))
                                .addOption(CommandOptions.valued(
                                        "file", "FILE", "file with the initial hosts as a JSON array")),
                        StandInCommands::hosts),
                new Start(
                        "weights",
                        "the weight store",
                        new Options().addOption(CommandOptions.valued("requests-per-second", "N", "default 2")),
                        StandInCommands::weights),
                new Start(
                        "engine",
                        "a model engine",
                        new Options()
                                .addOption(CommandOptions.valued("model", "NAME", "default saarthi-lm"))
                                .addOption(CommandOptions.valued("slots", "N", "default 8")),
                        StandInCommands::engine),
                new Start(
                        "service",
                        "a plain service that issues slips",
                        new Options()
                                .addOption(CommandOptions.valued("service", "NAME", "default stav-app"))
                                .addOption(CommandOptions.valued("service-time-ms", "MS", "default 5")),
                        StandInCommands::service));
    }

    private static StandIn log(Invocation invocation, Integer port) {
        return new LogStandIn(LogSettings.defaults()
                .withPort(port)
                .withRetentionMs(invocation.number("retention-ms", 86_400_000L, 1, MAX_TIME_MS))
                .withAppendsPerSecond(invocation.number("appends-per-second", 400, 1, 1_000_000)));
    }

    private static StandIn hosts(Invocation invocation, Integer port) {
        HostListSettings settings =
                HostListSettings.defaults().withPort(port).withLagMs(invocation.number("lag-ms", 0, 0, MAX_TIME_MS));
        if (!invocation.has("file")) {
            return new HostListStandIn(settings);
        }
        Path file = Invocation.readableFile(invocation.option("file", ""));
        try {
            return new HostListStandIn(settings.withHosts(
                    DaemonClient.JSON.readValue(Files.readAllBytes(file), new TypeReference<List<ListedHost>>() {})));
        } catch (IOException e) {
            throw new CommandFailure(ExitCode.USAGE, file + " must be a JSON array of hosts: " + e.getMessage());
        }
    }

    private static StandIn weights(Invocation invocation, Integer port) {
        return new WeightStoreStandIn(WeightStoreSettings.defaults()
                .withPort(port)
                .withRequestsPerSecond(invocation.number("requests-per-second", 2, 1, 1_000_000)));
    }

    private static StandIn engine(Invocation invocation, Integer port) {
        return new EngineStandIn(EngineSettings.defaults(invocation.option("model", "saarthi-lm"))
                .withPort(port)
                .withSlots((int) invocation.number("slots", 8, 1, 100_000)));
    }

    private static StandIn service(Invocation invocation, Integer port) {
        return new PlainServiceStandIn(PlainServiceSettings.defaults(invocation.option("service", "stav-app"))
                .withPort(port)
                .withServiceTimeMs(invocation.number("service-time-ms", 5, 0, MAX_TIME_MS)));
    }

    /** Starts a stand-in of one kind and keeps it running. */
    private record Start(
            String kind, String description, Options kindOptions, BiFunction<Invocation, Integer, StandIn> factory)
            implements Command {

        @Override
        public String name() {
            return "standin " + kind;
        }

        @Override
        public String summary() {
            return "run a stand-in for " + description + " until interrupted";
        }

        @Override
        public Options options() {
            Options options = new Options()
                    .addOption(CommandOptions.valued(
                            "port", "PORT", "port to listen on; 0 takes any free port; default 0"));
            kindOptions.getOptions().forEach(options::addOption);
            return options;
        }

        @Override
        public List<String> examples() {
            return List.of("standin " + kind + " --port 9000");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            int port = (int) invocation.number("port", 0, 0, MAX_PORT);
            try (StandIn standIn = factory.apply(invocation, port)) {
                start(standIn, port);
                invocation.console().line(kind + " stand-in at " + standIn.url() + "; faults under /faults");
                awaitInterrupt();
            }
            return ExitCode.OK;
        }

        private static void start(StandIn standIn, int port) {
            try {
                standIn.start();
            } catch (RuntimeException e) {
                throw new CommandFailure(ExitCode.FAILED, "cannot listen on port " + port + ": " + e.getMessage());
            }
        }

        private static void awaitInterrupt() {
            CountDownLatch stopped = new CountDownLatch(1);
            Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown, "stop"));
            try {
                stopped.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
