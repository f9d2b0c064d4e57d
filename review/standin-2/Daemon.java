package review2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon: a process of its own, started with the command of the deploy file. */
public final class Daemon {

    private final String name;
    private final InetSocketAddress front;
    private final InetSocketAddress ready;
    private final List<String> command = new ArrayList<>();
    private final Map<String, String> environment;
    private final Path folder;
    private final Path root;
    private final Record record;
    private Process process;
    private int starts;

    public Daemon(
            Path root,
            Path folder,
            String name,
            String ip,
            String zone,
            String zones,
            InetSocketAddress store,
            Record record)
            throws IOException {
        this.root = root;
        this.folder = folder;
        this.name = name;
        this.record = record;
        front = free(ip);
        ready = free(ip);
        InetSocketAddress peer = free(ip);
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, "nodeName = \"" + name + "\"\nip = \"" + ip + "\"\nzone = \"" + zone + "\"\n");
        environment = Map.of(
                "CORNELCRANK_BOOT", settings.toString(),
                "CORNELCRANK_DATA_CENTRES", zones,
                "CORNELCRANK_SHARED_KEY", "platform-daemons");
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no start command");
        }
        Map<String, String> values = Map.of(
                "{{nodeName}}", name,
                "{{zone}}", zone,
                "{{listen.front}}", text(front),
                "{{listen.ready}}", text(ready),
                "{{ip}}", ip,
                "{{internalPorts.0}}", Integer.toString(peer.getPort()),
                "{{platform.address}}", text(store),
                "{{platform.parts}}", Integer.toString(Store.PARTS),
                "{{platform.recordBytes}}", "262144",
                "{{platform.requestBytes}}", "2097152");
        for (String word : run.group(1).split(" ")) {
            String filled = word;
            for (Map.Entry<String, String> value : values.entrySet()) {
                filled = filled.replace(value.getKey(), value.getValue());
            }
            command.add(filled);
        }
    }

    private static InetSocketAddress free(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return new InetSocketAddress(ip, socket.getLocalPort());
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    public String name() {
        return name;
    }

    public InetSocketAddress front() {
        return front;
    }

    public void start() throws IOException {
        starts++;
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().putAll(environment);
        File log = folder.resolve(name + "-" + starts + ".log").toFile();
        process = builder.redirectErrorStream(true).redirectOutput(log).start();
        record.line(name + " started, start " + starts);
    }

    public boolean alive() {
        return process != null && process.isAlive();
    }

    public boolean readyNow() {
        return Call.send(ready, "GET", "/v1/readiness", "any", "", new byte[0], 500).status() == 200;
    }

    public boolean awaitReady(long ms) throws InterruptedException {
        long untilMs = record.ms() + ms;
        while (record.ms() < untilMs) {
            if (readyNow()) {
                record.line(name + " is ready");
                return true;
            }
            Thread.sleep(100);
        }
        record.line(name + " is not ready after " + ms + " ms");
        return false;
    }

    public void signal(String signal) throws IOException, InterruptedException {
        record.line(name + " gets SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Stops the daemon as the platform does: SIGTERM, and SIGKILL after the grace time. */
    public void terminate(long graceMs) throws IOException, InterruptedException {
        signal("TERM");
        if (!process.waitFor(graceMs, TimeUnit.MILLISECONDS)) {
            process.destroyForcibly().waitFor();
            record.line(name + " was killed after its grace time");
        }
        record.line(name + " has ended with " + process.exitValue());
    }

    public void kill() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroyForcibly().waitFor();
            record.line(name + " was killed");
        }
    }
}
