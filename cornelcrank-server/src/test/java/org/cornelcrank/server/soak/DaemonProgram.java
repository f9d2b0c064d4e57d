package org.cornelcrank.server.soak;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.cornelcrank.server.CornelcrankDaemon;
import org.cornelcrank.server.FreePorts;
import org.cornelcrank.server.OpenRequestLines;

/**
 * A gateway daemon in a process of its own, which keeps its addresses over restarts.
 *
 * <p>Thread-safe; stops and starts follow each other.
 */
final class DaemonProgram implements AutoCloseable {

    private static final int PORTS = 4;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
    private static final int READ_TIMEOUT_MS = 2_000;
    private static final int OK = 200;
    private static final int REPORTED_LINES = 100;

    private final String host;
    private final int[] ports = new int[PORTS];
    private final List<Socket> portHolders = new ArrayList<>();
    private final List<String> arguments;
    private final File log;
    private String classPath;
    private Process process;

    /** How the process is ended. */
    enum End {
        TERMINATE,
        KILL
    }

    DaemonProgram(String host, String storeAddress, int partitions, Path logs) throws IOException {
        this(
                host,
                "dc-a",
                SoakShape.COPIES.regions(),
                storeAddress,
                partitions,
                logs,
                System.getProperty("java.class.path"));
    }

    /** Creates a daemon that runs the build of the given class path until it is upgraded. */
    DaemonProgram(
            String host,
            String dataCentre,
            String regions,
            String storeAddress,
            int partitions,
            Path logs,
            String classPath)
            throws IOException {
        this.host = host;
        this.log = logs.resolve(host + ".log").toFile();
        this.classPath = classPath;
        takeFreePorts();
        arguments = List.of(
                CornelcrankDaemon.class.getName(),
                "gateway",
                "--deployment",
                "test",
                "--host",
                host,
                "--data-centre",
                dataCentre,
                "--data-centres",
                regions,
                "--front-address",
                "127.0.0.1:" + ports[0],
                "--readiness-address",
                "127.0.0.1:" + ports[1],
                "--peer-address",
                "127.0.0.1:" + ports[2],
                "--metrics-address",
                "127.0.0.1:" + ports[3],
                "--store-address",
                storeAddress,
                "--store-partitions",
                Integer.toString(partitions),
                "--shared-key",
                "test",
                "--drain-delay-ms",
                "100",
                "--drain-timeout-ms",
                "2000",
                "--log-format",
                "json");
    }

    /**
     * Takes ports that no outgoing connection is given, as the daemon needs them again after each restart. Sockets that
     * are bound but do not listen hold them while the daemon does not run; {@link FreePorts} does not return such ports.
     */
    private void takeFreePorts() throws IOException {
        while (portHolders.size() < PORTS) {
            int port = FreePorts.next();
            Socket holder = new Socket();
            try {
                // Shared only once it is held, so that the daemon can listen, but no other holder can take it.
                holder.setReuseAddress(false);
                holder.bind(new InetSocketAddress("127.0.0.1", port));
                holder.setReuseAddress(true);
                ports[portHolders.size()] = port;
                portHolders.add(holder);
            } catch (BindException e) {
                holder.close();
            }
        }
    }

    String host() {
        return host;
    }

    /** Returns the port for callers. */
    int port() {
        return ports[0];
    }

    /** Returns all ports at which the daemon listens. */
    List<Integer> ports() {
        return Arrays.stream(ports).boxed().toList();
    }

    synchronized void start() throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                classPath));
        command.addAll(arguments);
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    /** Ends the process without waiting for its end. */
    synchronized void end(End end) {
        if (end == End.KILL) {
            process.destroyForcibly();
        } else {
            process.destroy();
        }
    }

    /** Ends the process, waits for its end and starts it again. */
    synchronized void restart(End end, long pauseMs) throws IOException, InterruptedException {
        end(end);
        if (!process.waitFor(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException(host + " must end when it is told to");
        }
        Thread.sleep(pauseMs);
        start();
    }

    /** Stops the process in order and starts the build under test in its place. */
    synchronized void upgrade() throws IOException, InterruptedException {
        classPath = System.getProperty("java.class.path");
        restart(End.TERMINATE, 0);
    }

    /** Stops the process for that long, as if its machine stood still. */
    synchronized void freeze(long durationMs) throws IOException, InterruptedException {
        signal("STOP");
        Thread.sleep(durationMs);
        signal("CONT");
    }

    /** Stops the process for good, as if its machine stood still. */
    synchronized void freeze() throws IOException, InterruptedException {
        signal("STOP");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits until the daemon states that it is ready; fails if its process has ended, whoever listens at its ports. */
    void awaitReady() throws InterruptedException {
        long untilNanos = System.nanoTime() + START_TIMEOUT.toNanos();
        while (alive() && !ready()) {
            if (System.nanoTime() > untilNanos) {
                throw new IllegalStateException(host + " was not ready within " + START_TIMEOUT);
            }
            Thread.sleep(20);
        }
        if (!alive()) {
            throw new IllegalStateException(host + " must become ready but has ended\n" + report());
        }
    }

    private boolean ready() {
        return read(ports[1], "/v1/readiness").isPresent();
    }

    /**
     * Returns what the daemon states about requests that have not ended, after waiting for them to end; empty if there are
     * none.
     */
    List<String> awaitNoOpenRequests() throws InterruptedException {
        long untilNanos = System.nanoTime() + START_TIMEOUT.toNanos();
        List<String> open = openRequests();
        while (!open.isEmpty() && System.nanoTime() < untilNanos) {
            Thread.sleep(20);
            open = openRequests();
        }
        return open;
    }

    /** Returns the value of a field of the daemon's dump, or -1 if there is none. */
    long dumped(String field) {
        return dump().lines()
                .map(line -> line.strip().split(" +"))
                .filter(words -> words.length == 2 && words[0].equals(field))
                .mapToLong(words -> Long.parseLong(words[1]))
                .findFirst()
                .orElse(-1);
    }

    String dump() {
        return read(ports[3], "/dump").orElse("");
    }

    /** Returns the state of the process, its dump and the end of its log, for the message of a test that fails. */
    String report() {
        String lines;
        try {
            List<String> all = Files.readAllLines(log.toPath());
            lines = String.join("\n", all.subList(Math.max(0, all.size() - REPORTED_LINES), all.size()));
        } catch (IOException e) {
            lines = "no log: " + e;
        }
        return host + (alive() ? " is alive" : " has ended") + ", ports " + Arrays.toString(ports) + "\n" + dump()
                + lines;
    }

    /** Returns the number of descriptors that the process has open. */
    synchronized int descriptors() {
        String[] open = new File("/proc/" + process.pid() + "/fd").list();
        return open == null ? 0 : open.length;
    }

    private List<String> openRequests() {
        List<String> open = new ArrayList<>(
                OpenRequestLines.ofMetrics(read(ports[3], "/metrics").orElse("")));
        open.addAll(OpenRequestLines.ofDump(dump()));
        return open;
    }

    private static Optional<String> read(int port, String path) {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
            connection.setConnectTimeout(READ_TIMEOUT_MS);
            connection.setReadTimeout(READ_TIMEOUT_MS);
            try (InputStream in = connection.getResponseCode() == OK ? connection.getInputStream() : null) {
                return in == null ? Optional.empty() : Optional.of(new String(in.readAllBytes()));
            } finally {
                connection.disconnect();
            }
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    synchronized boolean alive() {
        return process != null && process.isAlive();
    }

    @Override
    public synchronized void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
        try {
            for (Socket holder : portHolders) {
                holder.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
