package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.gateway.RequestLimits;
import org.cornelcrank.gateway.RouteTable;
import org.cornelcrank.gateway.RouteTableSettings;
import org.cornelcrank.membership.MembershipSettings;
import org.cornelcrank.membership.MembershipStateMachine;
import org.cornelcrank.store.StoreCalls;
import org.cornelcrank.store.fake.SharedLink;
import org.cornelcrank.store.fake.StoreModel;
import org.cornelcrank.store.fake.StoreNetwork;
import org.cornelcrank.store.fake.VirtualNodes;

/**
 * Runs the job daemons of two regions against one store over links of limited rate, in virtual time.
 *
 * <p>Every other host is in the region of the store and has a link of its own; all hosts of the other region share one.
 * Not thread-safe.
 */
final class VirtualJobSites {

    static final long LEASE_MS = 2_500;
    static final long RENEW_INTERVAL_MS = 700;

    /** Within this time all daemons start that are started together. */
    static final long START_SPREAD_MS = 300;

    static final int ITEMS = 10;

    static final int PARTITIONS = 12;
    private static final int MAX_RECORD_BYTES = 262_144;
    private static final int MAX_REQUEST_BYTES = 2_097_152;
    private static final long RETENTION_MS = 600_000;
    private static final int BODY_BYTES = 15_000;
    static final int RESULT_BYTES = 9_000;
    private static final long APPEND_TIMEOUT_MS = 1_000;
    private static final long NEAR_BITS_PER_SECOND = 30_000_000;
    private static final long FAR_BITS_PER_SECOND = 21_000_000;
    private static final long NEAR_LATENCY_MS = 1;
    private static final long FAR_LATENCY_MS = 30;
    private static final long NEAR_FACT_MS = 200;
    private static final long FAR_FACT_MS = 600;
    private static final long FACT_REPAIR_MS = 1_000;

    final VirtualNodes nodes = new VirtualNodes(StoreModel.withWireLimits(PARTITIONS));
    final StoreNetwork network = new StoreNetwork(nodes);
    private final List<HostId> hosts;
    private final Set<HostId> near;
    private final RandomGenerator random;
    private final Map<HostId, GossipedFacts> facts = new HashMap<>();
    private final Map<Integer, Fact> owners = new TreeMap<>();
    private final Set<List<HostId>> cuts = new HashSet<>();
    private final Map<HostId, Long> messageDelaysMs = new HashMap<>();
    private final Map<HostId, FakeCapacity> capacities = new HashMap<>();
    private final Map<HostId, RouteTableSettings> routes = new HashMap<>();
    private final Set<HostId> isolated = new HashSet<>();
    private RouteTable routeTable = new RouteTable(1, List.of(VirtualJobs.route("llm")), RequestLimits.DEFAULT);
    private final Map<HostId, Map<String, Fact>> knownOwners = new HashMap<>();
    private final boolean hasMembership;
    private double factLoss;
    private double messageLoss;

    VirtualJobSites(int hostCount, long seed) {
        this(hostCount, seed, false, false);
    }

    /** Returns sites whose daemons disseminate facts by their membership, over the same links as other messages. */
    static VirtualJobSites withMembership(int hostCount, long seed) {
        return new VirtualJobSites(hostCount, seed, true, false);
    }

    /** Returns sites whose daemons are all in the region of the store. */
    static VirtualJobSites inOneRegion(int hostCount, long seed) {
        return new VirtualJobSites(hostCount, seed, false, true);
    }

    private VirtualJobSites(int hostCount, long seed, boolean hasMembership, boolean inOneRegion) {
        this.hasMembership = hasMembership;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        hosts = IntStream.range(0, hostCount)
                .mapToObj(number -> new HostId("host-%03d".formatted(number)))
                .toList();
        near = hosts.stream()
                .filter(host -> inOneRegion || hosts.indexOf(host) % 2 == 0)
                .collect(Collectors.toSet());
        SharedLink farUp = new SharedLink(nodes, FAR_BITS_PER_SECOND);
        SharedLink farDown = new SharedLink(nodes, FAR_BITS_PER_SECOND);
        for (HostId host : hosts) {
            network.connect(
                    host,
                    near(host)
                            ? new StoreNetwork.Route(
                                    new SharedLink(nodes, NEAR_BITS_PER_SECOND),
                                    new SharedLink(nodes, NEAR_BITS_PER_SECOND),
                                    NEAR_LATENCY_MS)
                            : new StoreNetwork.Route(farUp, farDown, FAR_LATENCY_MS));
        }
        nodes.setNetwork(network);
        nodes.setPeerLatency(this::peerLatency);
    }

    private boolean near(HostId host) {
        return near.contains(host);
    }

    private OptionalLong peerLatency(HostId from, HostId to) {
        if (cuts.contains(List.of(from, to)) || isolated.contains(from) || isolated.contains(to)) {
            return OptionalLong.empty();
        }
        if (messageLoss > 0 && random.nextDouble() < messageLoss) {
            return OptionalLong.empty();
        }
        long latencyMs = near(from) == near(to) ? NEAR_LATENCY_MS : FAR_LATENCY_MS;
        return OptionalLong.of(latencyMs + messageDelaysMs.getOrDefault(from, 0L));
    }

    List<HostId> hosts() {
        return hosts;
    }

    RandomGenerator random() {
        return random;
    }

    /** Loses this share of all deliveries of facts; a later publication of the fact may still arrive. */
    void loseFacts(double share) {
        factLoss = share;
    }

    /** Loses this share of all messages between daemons. */
    void loseMessages(double share) {
        messageLoss = share;
    }

    /** Delays all messages of a daemon to others; 0 ends it. */
    void delayMessages(HostId from, long delayMs) {
        messageDelaysMs.put(from, delayMs);
    }

    /** Loses all messages between two daemons. */
    void cut(HostId one, HostId other) {
        cutOneWay(one, other);
        cutOneWay(other, one);
    }

    /** Loses all messages of a daemon to another one. */
    void cutOneWay(HostId from, HostId to) {
        cuts.add(List.of(from, to));
    }

    /** Lets all messages between two daemons pass again. */
    void restore(HostId one, HostId other) {
        cuts.remove(List.of(one, other));
        cuts.remove(List.of(other, one));
    }

    /** Loses all messages between a daemon and all others, or lets them pass again. */
    void isolate(HostId host, boolean cut) {
        if (cut) {
            isolated.add(host);
        } else {
            isolated.remove(host);
        }
    }

    /** Activates a route table at every daemon. */
    void install(RouteTable newer) {
        routeTable = newer;
        routes.forEach((host, settings) -> nodes.act(host, (nowMs, out) -> {
            settings.install(newer, nowMs, out);
            settings.confirm(nowMs);
        }));
    }

    /** Returns the appends that store a job and the results of all its items, as daemons would. */
    static List<StoreRequest.Append> storedJob(String id, RandomGenerator random) {
        return storedJob(id, random, RESULT_BYTES);
    }

    /** Returns the appends that store a job and the results of all its items, of the given size each. */
    static List<StoreRequest.Append> storedJob(String id, RandomGenerator random, int resultBytes) {
        SubmitJob job = job(id, random, 0);
        List<KeyedRecord> results = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            ListedResult result = new ListedResult(job.content().items().get(i).id(), true, bytes(resultBytes, random));
            results.add(JobRecords.result(job.job(), i, i, result));
        }
        int partition = JobRecords.partitionOf(job.job(), PARTITIONS);
        return List.of(
                append(JobRecords.jobs(partition), JobRecords.encode(job.job(), job.content(), MAX_RECORD_BYTES)),
                append(JobRecords.results(partition), results));
    }

    private static StoreRequest.Append append(TopicPartition partition, List<KeyedRecord> records) {
        return new StoreRequest.Append(partition, records, Optional.empty(), APPEND_TIMEOUT_MS);
    }

    static SubmitJob job(String id, RandomGenerator random, long nowMs) {
        List<JobItem> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            items.add(new JobItem(id + "-item-" + i, "/jobs/" + i, Map.of(), bytes(BODY_BYTES, random), 100));
        }
        return VirtualJobs.job(id, items, nowMs);
    }

    private static ByteString bytes(int size, RandomGenerator random) {
        byte[] bytes = new byte[size];
        random.nextBytes(bytes);
        return ByteString.copyFrom(bytes);
    }

    /** Starts daemons at about the same time. */
    void start(List<HostId> started) {
        for (HostId host : started) {
            nodes.later(random.nextLong(START_SPREAD_MS), () -> {
                if (!nodes.runs(host)) {
                    nodes.start(host, startedAtMs -> stateMachines(host, startedAtMs));
                }
            });
        }
    }

    private List<StateMachine> stateMachines(HostId host, long startedAtMs) {
        Location location = new Location(new RegionId(near(host) ? "near" : "far"), dataCentre(host));
        DaemonIdentity identity = new DaemonIdentity(host, startedAtMs, location, "10.0.0.1:1");
        StoreCalls store = new StoreCalls();
        List<StateMachine> stateMachines = new ArrayList<>(List.of(store));
        Dissemination dissemination;
        if (hasMembership) {
            MembershipStateMachine membership = membership(identity);
            stateMachines.add(membership);
            dissemination = membership;
        } else {
            GossipedFacts gossip = new GossipedFacts(host);
            facts.put(host, gossip);
            nodes.later(FACT_REPAIR_MS, gossip::repair);
            dissemination = gossip;
        }
        stateMachines.add(jobs(identity, store, dissemination));
        return stateMachines;
    }

    private DataCentreId dataCentre(HostId host) {
        if (!near(host)) {
            return new DataCentreId("far");
        }
        return new DataCentreId(hosts.indexOf(host) % 4 == 0 ? "near-a" : "near-b");
    }

    private MembershipStateMachine membership(DaemonIdentity identity) {
        Map<HostId, String> seeds = hosts.stream().collect(Collectors.toMap(host -> host, host -> "10.0.0.1:1"));
        MembershipStateMachine membership = new MembershipStateMachine(
                identity, seeds, MembershipSettings.defaults(), random(identity), new MetricRegistry());
        Map<String, Fact> known = new HashMap<>();
        knownOwners.put(identity.host(), known);
        membership.subscribe(JobStateMachine.NAME, (fact, nowMs, out) -> known.put(fact.key(), fact));
        return membership;
    }

    private static RandomGenerator random(DaemonIdentity identity) {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(StableHash.of(identity.writer()));
    }

    private JobStateMachine jobs(DaemonIdentity identity, StoreCalls store, Dissemination dissemination) {
        HostId host = identity.host();
        RouteTableSettings settings = new RouteTableSettings(identity.location().region());
        FakeCapacity capacity = new FakeCapacity(host, nodes, new TreeMap<>(), (item, run) -> succeeded());
        capacities.put(host, capacity);
        routes.put(host, settings);
        JobStateMachine jobs = new JobStateMachine(
                identity,
                new JobSettings(
                        PARTITIONS, MAX_RECORD_BYTES, MAX_REQUEST_BYTES, LEASE_MS, RENEW_INTERVAL_MS, RETENTION_MS),
                settings,
                store,
                dissemination,
                capacity,
                random(identity));
        capacity.subscribe(jobs);
        settings.install(routeTable, identity.incarnation(), new Effects());
        return jobs;
    }

    private AttemptOutcome succeeded() {
        return new AttemptOutcome.Succeeded(200, "", bytes(RESULT_BYTES, random), 3);
    }

    /** Kills daemons without notice; what they have stored stays. */
    void kill(List<HostId> killed) {
        killed.forEach(host -> {
            nodes.kill(host);
            facts.remove(host);
            routes.remove(host);
            capacities.remove(host).stop();
            owners.values().removeIf(fact -> fact.value().toStringUtf8().equals(host.value()));
        });
    }

    /** Returns the hosts whose daemons run. */
    List<HostId> running() {
        return hosts.stream().filter(nodes::runs).toList();
    }

    /** Returns the daemons that have last published that they own a partition. */
    List<HostId> owners() {
        return owners.values().stream()
                .map(fact -> new HostId(fact.value().toStringUtf8()))
                .distinct()
                .toList();
    }

    /** Returns whether each partition has a running owner that has loaded it. */
    boolean allOwned() {
        return owners.size() == PARTITIONS;
    }

    /** Returns the owner of a partition that a daemon knows, empty if it knows none. */
    Optional<HostId> knownOwner(HostId host, int partition) {
        return knownOwners.get(host).values().stream()
                .filter(fact -> fact.key().endsWith("/" + partition))
                .map(fact -> new HostId(fact.value().toStringUtf8()))
                .findFirst();
    }

    /** Returns how long it takes to load all partitions, in ms, half of them over the link that hosts share. */
    long loadMs() {
        long bytes = 0;
        for (int partition = 0; partition < PARTITIONS; partition++) {
            for (TopicPartition topic : List.of(JobRecords.jobs(partition), JobRecords.results(partition))) {
                bytes += StoreNetwork.pageBytes(nodes.store().newest(topic).values());
            }
        }
        return bytes / 2 * 8 / (FAR_BITS_PER_SECOND / 1_000);
    }

    /** Spreads facts with the delay of gossip, and repairs what a started daemon has missed. */
    private final class GossipedFacts implements Dissemination {

        private final HostId host;
        private final List<FactListener> listeners = new ArrayList<>();
        private final Map<String, Fact> held = new TreeMap<>();

        GossipedFacts(HostId host) {
            this.host = host;
        }

        @Override
        public void publish(Fact fact, long nowMs, Effects out) {
            owners.merge(
                    Integer.parseInt(fact.key().substring(fact.key().lastIndexOf('/') + 1)),
                    fact,
                    (current, next) -> current.version() > next.version() ? current : next);
            for (HostId receiver : running()) {
                long delayMs = receiver.equals(host) ? 0 : near(receiver) == near(host) ? NEAR_FACT_MS : FAR_FACT_MS;
                if (receiver.equals(host) || random.nextDouble() >= factLoss) {
                    nodes.later(delayMs, () -> Optional.ofNullable(facts.get(receiver))
                            .ifPresent(gossip -> gossip.receive(fact)));
                }
            }
        }

        void repair() {
            List<HostId> peers = running();
            if (!peers.isEmpty()) {
                GossipedFacts peer = facts.get(peers.get(random.nextInt(peers.size())));
                List.copyOf(peer.held.values()).forEach(this::receive);
            }
        }

        private void receive(Fact fact) {
            Fact current = held.get(fact.key());
            if (facts.get(host) == this && (current == null || fact.version() > current.version())) {
                held.put(fact.key(), fact);
                nodes.act(
                        host,
                        (nowMs, effects) -> listeners.forEach(listener -> listener.factReceived(fact, nowMs, effects)));
            }
        }

        @Override
        public void subscribe(String slice, FactListener listener) {
            listeners.add(listener);
        }
    }
}
