package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.gateway.DirectoryStateMachine;
import org.cornelcrank.gateway.GatewayRoute;
import org.cornelcrank.gateway.RequestLimits;
import org.cornelcrank.gateway.RouteKind;
import org.cornelcrank.gateway.RouteTable;
import org.cornelcrank.gateway.RouteTableSettings;
import org.cornelcrank.gateway.WeightedService;
import org.cornelcrank.store.StoreCalls;
import org.cornelcrank.store.fake.StoreModel;
import org.cornelcrank.store.fake.VirtualNodes;

/**
 * Runs daemons that accept, run and read jobs against one store in virtual time.
 *
 * <p>Not thread-safe.
 */
final class VirtualJobs {

    static final HostId A = new HostId("host-a");
    static final HostId B = new HostId("host-b");
    static final HostId C = new HostId("host-c");
    static final long RETENTION_MS = 60_000;
    static final int MAX_ATTEMPTS = 3;
    static final int MAX_RECORD_BYTES = 262_144;

    private static final int PARTITIONS = 3;
    private static final String HOST = "jobs.example";
    private static final long DEADLINE_MS = 4_000;

    final VirtualNodes nodes = new VirtualNodes(new StoreModel(PARTITIONS));
    final Map<String, Integer> runsByItem = new TreeMap<>();
    final Map<HostId, FakeCapacity> capacities = new HashMap<>();
    final Map<HostId, RouteTableSettings> routes = new HashMap<>();
    private final List<SharedFacts> facts = new ArrayList<>();
    private final Set<HostId> withoutFacts = new HashSet<>();
    private final boolean followsRoutes;
    private final Map<HostId, Integer> maxRecordBytes = new HashMap<>();
    private BiFunction<String, Integer, AttemptOutcome> outcomes = (item, run) -> FakeCapacity.succeeded(item);

    VirtualJobs(HostId... hosts) {
        this(false, hosts);
    }

    /** Returns daemons that follow the routes in the store, as {@link StoredRoutes} encodes them. */
    static VirtualJobs followingRoutes(HostId... hosts) {
        return new VirtualJobs(true, hosts);
    }

    private VirtualJobs(boolean followsRoutes, HostId... hosts) {
        this.followsRoutes = followsRoutes;
        for (HostId host : hosts) {
            start(host);
        }
        nodes.run(3_000);
    }

    void setOutcomes(BiFunction<String, Integer, AttemptOutcome> newOutcomes) {
        outcomes = newOutcomes;
    }

    /** Loses all facts that are published for a daemon, or lets later ones pass again. */
    void loseFacts(HostId receiver, boolean lost) {
        if (lost) {
            withoutFacts.add(receiver);
        } else {
            withoutFacts.remove(receiver);
        }
    }

    /** Limits the records that a daemon writes from its next start on. */
    void setMaxRecordBytes(HostId host, int bytes) {
        maxRecordBytes.put(host, bytes);
    }

    /** Kills a daemon without notice. */
    void kill(HostId host) {
        nodes.kill(host);
        capacities.remove(host).stop();
    }

    void start(HostId host) {
        nodes.start(host, startedAtMs -> stateMachines(host, startedAtMs));
    }

    private List<StateMachine> stateMachines(HostId host, long startedAtMs) {
        Location location = new Location(new RegionId("region"), new DataCentreId("dc"));
        DaemonIdentity identity = new DaemonIdentity(host, startedAtMs, location, "10.0.0.1:1");
        StoreCalls store = new StoreCalls();
        RouteTableSettings settings = new RouteTableSettings(location.region());
        routes.put(host, settings);
        FakeCapacity capacity = new FakeCapacity(host, nodes, runsByItem, (item, run) -> outcomes.apply(item, run));
        capacities.put(host, capacity);
        SharedFacts shared = new SharedFacts(host);
        facts.add(shared);
        JobStateMachine jobs = new JobStateMachine(
                identity,
                new JobSettings(
                        PARTITIONS,
                        maxRecordBytes.getOrDefault(host, MAX_RECORD_BYTES),
                        2_097_152,
                        2_500,
                        700,
                        RETENTION_MS),
                settings,
                store,
                shared,
                capacity,
                RandomGeneratorFactory.of("L64X128MixRandom").create(startedAtMs ^ host.hashCode()));
        capacity.subscribe(jobs);
        if (followsRoutes) {
            DirectoryStateMachine directory = new DirectoryStateMachine(
                    identity,
                    Map.of(),
                    new StoredRoutes(),
                    settings,
                    store,
                    RandomGeneratorFactory.of("L64X128MixRandom").create(startedAtMs + host.hashCode()));
            return List.of(store, directory, jobs);
        }
        install(settings, new RouteTable(1, List.of(route("llm")), RequestLimits.DEFAULT), startedAtMs, new Effects());
        return List.of(store, jobs);
    }

    static GatewayRoute route(String service) {
        return route("r-jobs", "/jobs/", service);
    }

    static GatewayRoute route(String name, String pathPrefix, String service) {
        return new GatewayRoute(
                name,
                HOST,
                pathPrefix,
                RouteKind.BATCH,
                List.of(new WeightedService(new ServiceName(service), 100)),
                2,
                15_000,
                500,
                MAX_ATTEMPTS,
                true,
                true,
                18_000,
                60_000);
    }

    /** Activates a route table at every daemon. */
    void install(long version, List<GatewayRoute> table) {
        RouteTable newer = new RouteTable(version, table, RequestLimits.DEFAULT);
        routes.forEach((host, settings) -> nodes.act(host, (nowMs, out) -> install(settings, newer, nowMs, out)));
    }

    private static void install(RouteTableSettings settings, RouteTable newer, long nowMs, Effects out) {
        settings.install(newer, nowMs, out);
        settings.confirm(nowMs);
    }

    static SubmitJob job(String id, int items, long nowMs) {
        return job(id, "/jobs/", items, nowMs);
    }

    static SubmitJob job(String id, String pathPrefix, int items, long nowMs) {
        List<JobItem> content = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            content.add(new JobItem(
                    id + "-item-" + i,
                    pathPrefix + i,
                    Map.of("Model", "m"),
                    ByteString.copyFromUtf8("body " + i + " of " + id),
                    100));
        }
        return job(id, content, nowMs);
    }

    static SubmitJob job(String id, List<JobItem> content, long nowMs) {
        return new SubmitJob(new JobId(id), new JobContent(HOST, content), nowMs + DEADLINE_MS);
    }

    /** Returns a job whose items have random, incompressible bodies. */
    static SubmitJob longJob(String id, int items, int bytes, long nowMs) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        List<JobItem> content = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            byte[] body = new byte[bytes];
            random.nextBytes(body);
            content.add(new JobItem(id + "-item-" + i, "/jobs/" + i, Map.of(), ByteString.copyFrom(body), 100));
        }
        return new SubmitJob(new JobId(id), new JobContent(HOST, content), nowMs + DEADLINE_MS);
    }

    /** Submits a job and waits for the reply. */
    CallerReply submit(HostId host, String id, int items) {
        return await(nodes.submit(host, job(id, items, nodes.nowMs())));
    }

    CallerReply end(HostId host, String id) {
        return await(nodes.submit(host, new EndJob(new JobId(id), nodes.nowMs() + DEADLINE_MS)));
    }

    CallerReply read(HostId host, String id, int fromPosition) {
        return await(nodes.submit(host, new ReadJob(new JobId(id), fromPosition, 0)));
    }

    CallerReply readBody(HostId host, String id, String item) {
        return await(nodes.submit(host, new ReadItemBody(new JobId(id), item)));
    }

    CallerReply await(RequestId request) {
        for (int i = 0; i < 1_000 && nodes.reply(request).isEmpty(); i++) {
            nodes.run(10);
        }
        return nodes.reply(request).orElseThrow(() -> new AssertionError("no reply to " + request));
    }

    /** Advances the time until a host runs items, and returns that host. */
    HostId awaitOwner() {
        for (int i = 0; i < 1_000; i++) {
            nodes.run(10);
            if (capacities.values().stream().anyMatch(capacity -> capacity.runningItems() > 0)) {
                break;
            }
        }
        return owner();
    }

    /** Returns the host that runs items; fails if there is none. */
    HostId owner() {
        return capacities.entrySet().stream()
                .filter(entry -> entry.getValue().runningItems() > 0)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no host runs an item"));
    }

    /** Disseminates facts to every daemon within {@link VirtualNodes#PEER_MS}. */
    private final class SharedFacts implements Dissemination {

        private final HostId host;
        private final List<FactListener> listeners = new ArrayList<>();

        SharedFacts(HostId host) {
            this.host = host;
        }

        @Override
        public void publish(Fact fact, long nowMs, Effects out) {
            for (SharedFacts receiver : facts) {
                if (withoutFacts.contains(receiver.host)) {
                    continue;
                }
                nodes.later(
                        VirtualNodes.PEER_MS,
                        () -> nodes.act(
                                receiver.host,
                                (atMs, effects) -> receiver.listeners.forEach(
                                        listener -> listener.factReceived(fact, atMs, effects))));
            }
        }

        @Override
        public void subscribe(String slice, FactListener listener) {
            listeners.add(listener);
        }
    }
}
