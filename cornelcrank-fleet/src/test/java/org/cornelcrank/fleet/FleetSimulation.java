package org.cornelcrank.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.config.ApiKeyEntry;
import org.cornelcrank.config.ServiceKind;
import org.cornelcrank.config.ServicePolicy;
import org.cornelcrank.config.Settings;
import org.cornelcrank.config.TargetPolicy;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.OrderOutcome;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.partition.RecordPosition;

/** Simulates two daemons that may hold the claim, a log, engines and settings in virtual time. */
final class FleetSimulation implements Settings {

    static final RegionId REGION = new RegionId("zapad");
    static final int PARTITIONS = 4;
    static final long LOAD_MS = 20_000;

    final PartitionId claim = FleetStateMachine.claimOf(REGION, PARTITIONS);
    final Map<String, Holder> holders = new TreeMap<>();
    final Map<TargetId, Engine> engines = new TreeMap<>();
    final Map<ServiceName, ServicePolicy> policies = new TreeMap<>();
    final Map<TargetId, TargetPolicy> targetPolicies = new TreeMap<>();
    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
    private long nowMs = 1_000_000;
    private long order;
    private long epoch;
    private String owner = "";
    int maxConcurrentOrders;

    FleetSimulation() {
        holders.put("a", new Holder("a"));
        holders.put("b", new Holder("b"));
        schedule(100, this::report);
    }

    long nowMs() {
        return nowMs;
    }

    Engine engine(String name, String... loaded) {
        Engine engine = new Engine(new TargetId(name), new TreeSet<>(Set.of(loaded)));
        engines.put(engine.id, engine);
        listHosts();
        return engine;
    }

    void service(String name, String version, int replicas) {
        ServiceName service = new ServiceName(name);
        policies.put(
                service, new ServicePolicy(service, ServiceKind.MODEL, List.of(), 60_000, version, Set.of(), replicas));
    }

    /** Assigns the claim to a daemon through the log; the previous holder is notified when it next runs. */
    void claim(String host) {
        String previous = owner;
        owner = host;
        epoch++;
        if (!previous.isEmpty()) {
            holders.get(previous).run(() -> holders.get(previous).lose());
        }
        long gainedEpoch = epoch;
        holders.get(host).run(() -> holders.get(host).gain(gainedEpoch));
    }

    void runFor(long ms) {
        long endMs = nowMs + ms;
        while (!queue.isEmpty() && queue.peek().dueAtMs <= endMs) {
            Scheduled next = queue.poll();
            nowMs = next.dueAtMs;
            next.action.run();
        }
        nowMs = endMs;
    }

    List<TargetId> serving(String loadedName) {
        return engines.values().stream()
                .filter(engine -> engine.loaded.contains(loadedName))
                .map(engine -> engine.id)
                .toList();
    }

    @Override
    public long version() {
        return 1;
    }

    @Override
    public boolean ready() {
        return true;
    }

    @Override
    public Optional<TeamPolicy> team(TeamPath team) {
        return Optional.empty();
    }

    @Override
    public Collection<TeamPath> teams() {
        return List.of();
    }

    @Override
    public Optional<ServicePolicy> service(ServiceName service) {
        return Optional.ofNullable(policies.get(service));
    }

    @Override
    public Collection<ServiceName> services() {
        return policies.keySet();
    }

    @Override
    public TargetPolicy target(TargetId target) {
        return targetPolicies.getOrDefault(target, new TargetPolicy(target, 0, false, false, "mixed"));
    }

    @Override
    public Optional<ApiKeyEntry> apiKey(String keyId) {
        return Optional.empty();
    }

    @Override
    public void subscribe(SettingsListener listener) {}

    private void schedule(long delayMs, Runnable action) {
        queue.add(new Scheduled(nowMs + delayMs, order++, action));
    }

    private void listHosts() {
        Location location = new Location(REGION, new DataCentreId("trnava-a"));
        List<HostEntry> hosts = engines.values().stream()
                .map(engine -> new HostEntry(
                        engine.id.value(), HostRole.TARGET, location, "address", policies.keySet(), false))
                .toList();
        holders.values().forEach(holder -> holder.handle(new Event.HostListRead(hosts)));
    }

    private void report() {
        for (Engine engine : engines.values()) {
            Event event = engine.lost
                    ? new Event.TargetUnreachable(engine.id, true)
                    : new Event.TargetReported(
                            new TargetReport(engine.id, nowMs, 8, 0, 0, engine.loaded, false, engine.fencingNumber));
            holders.values().forEach(holder -> holder.handle(event));
        }
        schedule(1_000, this::report);
    }

    /** An engine that takes {@link #LOAD_MS} to carry out an order and may ignore fencing numbers. */
    final class Engine {
        final TargetId id;
        final List<Long> ordersAtMs = new ArrayList<>();
        Set<String> loaded;
        long fencingNumber;
        boolean checksFencing;
        boolean lost;
        boolean acknowledgementsLost;
        private int ordersInProgress;

        Engine(TargetId id, Set<String> loaded) {
            this.id = id;
            this.loaded = loaded;
        }

        void receive(Effect.Order message, Holder from) {
            if (checksFencing && message.order().fencingNumber() < fencingNumber) {
                from.handle(new Event.OrderEnded(id, message.orderNumber(), OrderOutcome.FENCED));
                return;
            }
            ordersAtMs.add(nowMs);
            fencingNumber = message.order().fencingNumber();
            ordersInProgress++;
            loaded = new TreeSet<>(loaded);
            loaded.retainAll(message.order().loaded());
            maxConcurrentOrders = Math.max(
                    maxConcurrentOrders,
                    engines.values().stream()
                            .mapToInt(engine -> engine.ordersInProgress)
                            .sum());
            schedule(LOAD_MS, () -> {
                ordersInProgress--;
                loaded = new TreeSet<>(message.order().loaded());
                OrderOutcome outcome = acknowledgementsLost ? OrderOutcome.UNKNOWN : OrderOutcome.DONE;
                from.handle(new Event.OrderEnded(id, message.orderNumber(), outcome));
            });
        }
    }

    /** One daemon with its own view of the claim. */
    final class Holder implements PartitionWriter {
        final FleetStateMachine stateMachine;
        final List<String> explanations = new ArrayList<>();
        final FleetState state = new FleetState();
        private final String host;
        private final Deque<Runnable> deferredActions = new ArrayDeque<>();
        private boolean paused;
        private long heldEpoch = -1;
        private long nextProposal;

        Holder(String host) {
            this.host = host;
            Location location = new Location(REGION, new DataCentreId("trnava-a"));
            DaemonIdentity identity = new DaemonIdentity(new HostId(host), 1, location, host + ":1");
            this.stateMachine = new FleetStateMachine(
                    identity, FleetSimulation.this, this, FleetSettings.defaults(), new MetricRegistry());
        }

        void pause() {
            paused = true;
        }

        void resume() {
            paused = false;
            while (!deferredActions.isEmpty()) {
                deferredActions.poll().run();
            }
        }

        void run(Runnable action) {
            if (paused) {
                deferredActions.add(action);
            } else {
                action.run();
            }
        }

        void handle(Event event) {
            run(() -> {
                Effects out = new Effects();
                stateMachine.on(event, nowMs, out);
                execute(out);
            });
        }

        void gain(long gainedEpoch) {
            heldEpoch = gainedEpoch;
            Effects out = new Effects();
            stateMachine.ownershipGained(claim, state, nowMs, out);
            execute(out);
        }

        void lose() {
            heldEpoch = -1;
            stateMachine.ownershipLost(claim, nowMs, new Effects());
        }

        @Override
        public boolean owns(PartitionId partition) {
            return heldEpoch >= 0;
        }

        @Override
        public OptionalLong epoch(PartitionId partition) {
            return heldEpoch < 0 ? OptionalLong.empty() : OptionalLong.of(heldEpoch);
        }

        @Override
        public Optional<HostId> likelyOwner(PartitionId partition) {
            return Optional.of(new HostId(heldEpoch >= 0 ? host : owner.isEmpty() ? host : owner));
        }

        @Override
        public int partitionCount() {
            return PARTITIONS;
        }

        @Override
        public boolean logAvailable(long atMs) {
            return true;
        }

        @Override
        public long pendingBytes(PartitionId partition) {
            return 0;
        }

        @Override
        public boolean hasCapacity(PartitionId partition, long bytes) {
            return true;
        }

        @Override
        public long propose(PartitionId partition, DurableRecord record, boolean urgent, long atMs, Effects out) {
            long number = nextProposal++;
            long proposedInEpoch = heldEpoch;
            schedule(10, () -> {
                if (proposedInEpoch == epoch) {
                    schedule(10, () -> run(() -> applied(number, record)));
                    holders.values().stream()
                            .filter(holder -> holder != this)
                            .forEach(holder -> holder.state.apply(record, new RecordPosition(0, 0), nowMs));
                }
            });
            return number;
        }

        @Override
        public long readBodies(
                PartitionId partition, String slice, Collection<RecordPosition> positions, long atMs, Effects out) {
            throw new UnsupportedOperationException("the fleet reads no record bodies");
        }

        private void applied(long number, DurableRecord record) {
            state.apply(record, new RecordPosition(0, 0), nowMs);
            if (heldEpoch >= 0) {
                Effects out = new Effects();
                stateMachine.proposalApplied(claim, number, new RecordPosition(0, 0), nowMs, out);
                execute(out);
            }
        }

        private void execute(Effects out) {
            for (Effect effect : out.list()) {
                if (effect instanceof Effect.Schedule schedule) {
                    schedule(Math.max(0, schedule.dueAtMs() - nowMs), () -> handle(new Event.TimerDue(schedule.key())));
                } else if (effect instanceof Effect.Order message) {
                    schedule(5, () -> engines.get(message.target()).receive(message, this));
                } else if (effect instanceof Effect.Send send) {
                    holders.get(send.to().value())
                            .handle(new Event.PeerMessageReceived(new HostId(host), send.message()));
                } else if (effect instanceof Effect.Explain explain) {
                    explanations.add(explain.subject().id() + " " + explain.decision() + ": " + explain.reason());
                }
            }
        }
    }

    private record Scheduled(long dueAtMs, long order, Runnable action) implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            int byTime = Long.compare(dueAtMs, other.dueAtMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
