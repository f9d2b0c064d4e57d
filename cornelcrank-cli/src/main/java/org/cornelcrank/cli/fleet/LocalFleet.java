package org.cornelcrank.cli.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import org.cornelcrank.cli.client.ApiKey;
import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.server.DaemonProcess;
import org.cornelcrank.server.peer.SocketAddresses;
import org.cornelcrank.server.settings.DaemonSettings;
import org.cornelcrank.server.settings.DaemonSettingsParser;
import org.cornelcrank.server.settings.SettingsResult;
import org.cornelcrank.standin.EngineStandIn;
import org.cornelcrank.standin.HostListSettings;
import org.cornelcrank.standin.HostListStandIn;
import org.cornelcrank.standin.LogSettings;
import org.cornelcrank.standin.LogStandIn;
import org.cornelcrank.standin.PlainServiceStandIn;
import org.cornelcrank.standin.StandIn;

/**
 * A deployment that runs on loopback addresses in this process.
 *
 * <p>Invariant: after {@link #start} every daemon is ready and every setting of the plan is in effect at every daemon.
 * Blocks the calling thread. Not thread-safe.
 */
public final class LocalFleet implements AutoCloseable {

    private static final String OPERATOR_KEY_ID = "operator";
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 50;

    private final FleetPlan plan;
    private final List<String> daemonOptions;
    private final ApiKey operatorKey = ApiKey.create(OPERATOR_KEY_ID, "operator", 0, new SecureRandom());
    private final LogStandIn log = new LogStandIn(LogSettings.defaults());
    private final HostListStandIn hosts = new HostListStandIn(HostListSettings.defaults());
    private final LocalTargets targets;
    private final List<EntryHost> entryHosts = new ArrayList<>();
    private final Map<String, String> keys = new LinkedHashMap<>();

    /** Creates a fleet without starting it; the given options are added to those of every daemon. */
    public LocalFleet(FleetPlan plan, List<String> daemonOptions) {
        this.plan = Objects.requireNonNull(plan, "plan must not be null");
        this.daemonOptions = List.copyOf(daemonOptions);
        this.targets = new LocalTargets(plan);
    }

    /** An entry host and its daemon. */
    public record EntryHost(String name, String dataCentre, DaemonProcess process) {

        public String url() {
            return "http://" + process.httpAddress();
        }
    }

    /** Starts the stand-ins and daemons and applies the settings. */
    public void start() throws IOException {
        log.start();
        hosts.start();
        targets.start();
        hosts.setHosts(targets.hostList());
        startDaemons();
        for (EntryHost host : entryHosts) {
            await("daemon " + host.name() + " is ready", () -> isReady(host));
        }
        applySettings();
    }

    public FleetPlan plan() {
        return plan;
    }

    public LogStandIn log() {
        return log;
    }

    public List<EngineStandIn> engines() {
        return targets.engines();
    }

    public List<PlainServiceStandIn> plainServices() {
        return targets.plainServices();
    }

    public List<EntryHost> entryHosts() {
        return List.copyOf(entryHosts);
    }

    /** Returns the entry hosts of one data centre. */
    public List<EntryHost> entryHosts(String dataCentre) {
        return entryHosts.stream()
                .filter(host -> host.dataCentre().equals(dataCentre))
                .toList();
    }

    /** Returns a stand-in by its name in scenarios: {@code log}, {@code hosts} or the name of a target. */
    public StandIn standIn(String name) {
        return switch (name) {
            case "log" -> log;
            case "hosts" -> hosts;
            default -> targets.byName(name);
        };
    }

    /** Returns the bearer token of a planned API key. */
    public String bearer(String keyId) {
        String bearer = keys.get(keyId);
        if (bearer == null) {
            throw new IllegalArgumentException("no API key with id '" + keyId + "'; available are " + keys.keySet());
        }
        return bearer;
    }

    /** Returns the bearer token of the operator. */
    public String operatorBearer() {
        return operatorKey.bearer();
    }

    /** Returns a client of a daemon that uses the operator key. */
    public DaemonClient operator(EntryHost host) {
        return new DaemonClient(host.url(), operatorBearer());
    }

    /** Kills the daemons without draining, as a crash would, for measurements that do not need a graceful stop. */
    public void kill() {
        entryHosts.forEach(host -> host.process().kill());
        entryHosts.clear();
        close();
    }

    /** Stops all daemons gracefully and concurrently, then the stand-ins. */
    @Override
    public void close() {
        List<Thread> stops = entryHosts.stream()
                .map(host -> new Thread(host.process()::stop, "stop-" + host.name()))
                .toList();
        stops.forEach(Thread::start);
        stops.forEach(LocalFleet::join);
        entryHosts.clear();
        targets.close();
        hosts.close();
        log.close();
    }

    private void startDaemons() throws IOException {
        Map<String, String> peerAddresses = new LinkedHashMap<>();
        for (FleetPlan.DataCentre dataCentre : plan.dataCentres()) {
            for (int number = 1; number <= dataCentre.entryHosts(); number++) {
                InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
                peerAddresses.put(
                        "entry-" + dataCentre.name() + "-" + number,
                        SocketAddresses.format(SocketAddresses.withFreePort(anyPort)));
            }
        }
        for (FleetPlan.DataCentre dataCentre : plan.dataCentres()) {
            for (int number = 1; number <= dataCentre.entryHosts(); number++) {
                String name = "entry-" + dataCentre.name() + "-" + number;
                DaemonProcess process = DaemonProcess.start(settings(name, dataCentre, peerAddresses));
                entryHosts.add(new EntryHost(name, dataCentre.name(), process));
            }
        }
    }

    private DaemonSettings settings(String host, FleetPlan.DataCentre dataCentre, Map<String, String> peerAddresses) {
        List<String> options = new ArrayList<>(List.of(
                "--deployment",
                plan.deployment(),
                "--host",
                host,
                "--region",
                dataCentre.region(),
                "--data-centre",
                dataCentre.name(),
                "--http-address",
                "127.0.0.1:0",
                "--peer-address",
                peerAddresses.get(host)));
        options.addAll(List.of(
                "--log-url",
                log.url(),
                "--hosts-url",
                hosts.url(),
                "--shared-key",
                operatorKey.saltHex(),
                "--operator-key",
                operatorKey.bearer(),
                "--regions",
                String.join(",", plan.regions()),
                "--partitions",
                Integer.toString(plan.partitions())));
        List<String> seeds = new ArrayList<>();
        peerAddresses.forEach((name, address) -> {
            if (!name.equals(host)) {
                seeds.add(name + "=" + address);
            }
        });
        if (!seeds.isEmpty()) {
            options.addAll(List.of("--seeds", String.join(",", seeds)));
        }
        options.addAll(daemonOptions);
        SettingsResult<DaemonSettings> result = DaemonSettingsParser.parse(options.toArray(String[]::new), Map.of());
        if (result instanceof SettingsResult.Valid<DaemonSettings> valid) {
            return valid.settings();
        }
        throw new CommandFailure(ExitCode.USAGE, "invalid daemon settings: " + result);
    }

    private void applySettings() {
        DaemonClient first = operator(entryHosts.get(0));
        Map<String, String> settings = new LinkedHashMap<>(plan.settings());
        SecureRandom random = new SecureRandom();
        for (FleetPlan.Key planned : plan.keys()) {
            ApiKey key = ApiKey.create(planned.keyId(), planned.scope(), 0, random);
            keys.put(planned.keyId(), key.bearer());
            settings.put(key.settingPath(planned.team()), key.settingValue());
        }
        long version = 0;
        for (Map.Entry<String, String> setting : settings.entrySet()) {
            String call = "/admin/config/value?path=" + DaemonClient.encode(setting.getKey());
            version = first.put(call, Map.of("value", setting.getValue()))
                    .json()
                    .path("version")
                    .asLong();
        }
        long newest = version;
        for (EntryHost host : entryHosts) {
            await("the settings are in effect at " + host.name(), () -> settingsVersion(host) >= newest);
        }
    }

    private long settingsVersion(EntryHost host) {
        return operator(host)
                .get("/admin/config?prefix=/")
                .json()
                .path("version")
                .asLong();
    }

    private static boolean isReady(EntryHost host) {
        try {
            return new DaemonClient(host.url(), "").get("/healthz/ready").status() == 200;
        } catch (CommandFailure e) {
            return false;
        }
    }

    private static void await(String description, BooleanSupplier condition) {
        long endMs = System.currentTimeMillis() + READY_TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > endMs) {
                throw new CommandFailure(
                        ExitCode.FAILED,
                        "timed out after " + READY_TIMEOUT_MS + " ms while waiting until " + description);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailure(ExitCode.FAILED, "interrupted while waiting for the fleet to start");
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
