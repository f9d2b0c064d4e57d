package org.cornelcrank.spec;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import tlc2.TLC;

/** Runs TLC on one configuration of a specification, in a separate process because TLC keeps state in static fields. */
final class ModelChecker {

    private static final Path SPECIFICATIONS = Path.of("src/main/tla").toAbsolutePath();
    private static final Path OUTPUT = Path.of("target/tlc").toAbsolutePath();
    private static final long TIMEOUT_S = 300;
    private static final Pattern STATES =
            Pattern.compile("(\\d+) states generated, (\\d+) distinct states found, (\\d+) states left on queue");
    private static final Pattern VIOLATED = Pattern.compile("Invariant (\\w+) is violated");

    private ModelChecker() {}

    /** The result of a run of TLC; {@code violated} is the name of the invariant that has a counterexample. */
    record Result(String output, boolean finished, long distinctStates, long statesLeft, Optional<String> violated) {}

    static Result check(String module, String configuration, int workers) throws IOException, InterruptedException {
        Path directory = Files.createDirectories(OUTPUT.resolve(configuration));
        Path output = directory.resolve("output.txt");
        Process process = new ProcessBuilder(command(module, configuration, workers, directory))
                .directory(SPECIFICATIONS.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        if (!process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
        return parse(Files.readString(output, StandardCharsets.UTF_8));
    }

    private static List<String> command(String module, String configuration, int workers, Path directory) {
        String jar =
                TLC.class.getProtectionDomain().getCodeSource().getLocation().getPath();
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseParallelGC",
                "-Xmx1g",
                // TLC unpacks its standard modules here; concurrent runs need separate directories.
                "-Djava.io.tmpdir=" + directory,
                "-cp",
                jar,
                TLC.class.getName(),
                "-workers",
                Integer.toString(workers),
                "-deadlock",
                "-metadir",
                directory.resolve("states").toString(),
                "-config",
                configuration + ".cfg",
                module + ".tla");
    }

    private static Result parse(String output) {
        Matcher states = STATES.matcher(output);
        long distinct = 0;
        long left = -1;
        while (states.find()) {
            distinct = Long.parseLong(states.group(2));
            left = Long.parseLong(states.group(3));
        }
        Matcher violated = VIOLATED.matcher(output);
        Optional<String> invariant = violated.find() ? Optional.of(violated.group(1)) : Optional.empty();
        boolean finished = output.contains("Model checking completed. No error has been found.");
        return new Result(output, finished, distinct, left, invariant);
    }
}
