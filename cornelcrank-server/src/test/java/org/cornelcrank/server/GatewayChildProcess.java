package org.cornelcrank.server;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A gateway daemon in a process of its own, started with the memory options of {@code deploy/system.toml}.
 *
 * <p>Not thread-safe.
 */
final class GatewayChildProcess implements AutoCloseable {

    static final String ZONE = "dc-a";

    private static final List<String> MEMORY_OPTIONS =
            List.of("-Xmx200m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");
    private static final Pattern PEAK_KIB = Pattern.compile("VmHWM:\\s+(\\d+) kB");
    private static final int PORTS = 4;
    private static final int BYTES_PER_KIB = 1024;
    private static final long END_LIMIT_S = 10;

    private final HttpClient http = HttpClient.newHttpClient();
    private final int[] ports = FreePorts.next(PORTS);
    private final Path output;
    private final Process process;

    GatewayChildProcess(String storeAddress, Path directory) throws IOException {
        output = directory.resolve("daemon.log");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(MEMORY_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(CornelcrankDaemon.class.getName(), "gateway", "--deployment", "test", "--host", "host"));
        command.addAll(List.of("--data-centre", ZONE, "--data-centres", "{\"dc-a\":\"region-1\"}"));
        command.addAll(List.of("--front-address", address(0), "--readiness-address", address(1)));
        command.addAll(List.of("--peer-address", address(2), "--metrics-address", address(3)));
        command.addAll(List.of("--store-address", storeAddress, "--store-partitions", "2", "--shared-key", "test"));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
    }

    private String address(int listener) {
        return "127.0.0.1:" + ports[listener];
    }

    /** Returns the URI of a path at the listener for callers. */
    URI uri(String path) {
        return URI.create("http://" + address(0) + path);
    }

    int frontPort() {
        return ports[0];
    }

    boolean ready() {
        return get(address(1), "/v1/readiness").map(HttpResponse::statusCode).orElse(0) == 200;
    }

    /** Returns the value of a metric in the Prometheus text format. */
    double metric(String name) {
        Matcher matcher = Pattern.compile("(?m)^" + name + " (\\S+)$")
                .matcher(get(address(3), "/metrics").map(HttpResponse::body).orElse(""));
        return matcher.find() ? Double.parseDouble(matcher.group(1)) : Double.NaN;
    }

    private Optional<HttpResponse<String>> get(String address, String path) {
        try {
            return Optional.of(http.send(
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(Duration.ofSeconds(END_LIMIT_S))
                            .build(),
                    HttpResponse.BodyHandlers.ofString()));
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Returns the largest resident size that the process has had, in bytes. */
    long peakResidentBytes() throws IOException {
        Matcher matcher = PEAK_KIB.matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
        if (!matcher.find()) {
            throw new IllegalStateException("the process must be alive to state its resident size");
        }
        return Long.parseLong(matcher.group(1)) * BYTES_PER_KIB;
    }

    /** Returns what the process has written to its standard output and error so far. */
    String output() {
        try {
            return Files.readString(output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(END_LIMIT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
