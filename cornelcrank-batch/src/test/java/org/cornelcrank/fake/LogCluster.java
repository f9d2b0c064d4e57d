package org.cornelcrank.fake;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.partition.PartitionClient;
import org.cornelcrank.partition.PartitionSettings;
import org.cornelcrank.partition.PartitionStateMachine;

/**
 * Runs daemons with the partition state machine and one more state machine that stores its state in partitions, over an
 * in-memory log.
 *
 * <p>The log and messages have latencies. The test chooses faults of appends, stops the log, and crashes or pauses
 * daemons, which the other daemons detect one second later. Not thread-safe.
 */
public final class LogCluster extends TestCluster {

    private static final long LOG_LATENCY_MS = 5;
    private static final long PEER_LATENCY_MS = 1;
    private static final long APPEND_TIMEOUT_MS = 200;
    private static final long DETECTION_DELAY_MS = 1_000;

    private final PartitionSettings settings;
    private final FakeCluster.NodeFactory factory;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
    private final Map<HostId, Node> nodes = new TreeMap<>();
    private final MemoryLog log = new MemoryLog();
    private AppendFaults faults = append -> AppendFault.NONE;
    private boolean outage;
    private int appends;
    private long nowMs = 1_000_000;
    private long order;
    private long nextRequest;

    public LogCluster(PartitionSettings settings, FakeCluster.NodeFactory factory, String... names) {
        this.settings = settings;
        this.factory = factory;
        for (String name : names) {
            start(name);
        }
        advance(10_000);
    }

    public void start(String name) {
        Node node = new Node(new HostId(name));
        node.view.addMembers(nodes.values());
        nodes.put(node.id, node);
        updateMembership(node.id, MemberState.ALIVE);
        node.offer(new Event.Started());
    }

    public void crash(String name) {
        Node node = nodes.get(new HostId(name));
        node.crashed = true;
        after(DETECTION_DELAY_MS, () -> updateMembership(node.id, MemberState.DEAD));
    }

    /** Pauses a daemon; the others consider it dead until it resumes. */
    public void pause(String name, long ms) {
        Node node = nodes.get(new HostId(name));
        node.paused = true;
        after(DETECTION_DELAY_MS, () -> updateMembership(node.id, MemberState.DEAD));
        after(ms, () -> {
            updateMembership(node.id, MemberState.ALIVE);
            node.resume();
        });
    }

    public void stop(String name) {
        Node node = nodes.get(new HostId(name));
        updateMembership(node.id, MemberState.LEAVING);
        node.offer(new Event.StopRequested());
    }

    /** Sets the faults of appends, which are numbered from zero. */
    public void appendFaults(AppendFaults plan) {
        faults = plan;
    }

    public void outage(boolean on) {
        outage = on;
    }

    public int appends() {
        return appends;
    }

    /** Returns the daemon that considers itself the owner of the partition. */
    public Optional<String> owner(PartitionId partition) {
        return nodes.values().stream()
                .filter(node -> !node.crashed && !node.paused && node.partitions.owns(partition))
                .map(node -> node.id.value())
                .findFirst();
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public void run() {
        advance(0);
    }

    @Override
    public void advance(long ms) {
        long endMs = nowMs + ms;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
            Task task = tasks.poll();
            nowMs = Math.max(nowMs, task.atMs());
            task.action().run();
        }
        nowMs = endMs;
    }

    @Override
    public void inject(HostId id, Consumer<Effects> event) {
        after(0, () -> nodes.get(id).act(event));
    }

    @Override
    public RequestId submit(String name, Caller caller, CallerCommand command) {
        Node node = nodes.get(new HostId(name));
        RequestId request = new RequestId(node.id, node.identity.incarnation(), ++nextRequest);
        after(0, () -> node.offer(new Event.CommandReceived(request, caller, command)));
        return request;
    }

    /** Runs an action after the given time. */
    public void after(long ms, Runnable action) {
        tasks.add(new Task(nowMs + ms, order++, action));
    }

    private void updateMembership(HostId host, MemberState state) {
        for (Node node : nodes.values()) {
            node.view.set(nodes.get(host), state);
        }
    }

    /** Fault of one append. */
    public enum AppendFault {
        NONE,
        RESPONSE_LOST,
        REQUEST_LOST,
        REFUSED
    }

    /** Determines the fault of an append by its number. */
    public interface AppendFaults {
        AppendFault faultOf(int append);
    }

    private record Task(long atMs, long order, Runnable action) {}

    /** A daemon of the cluster. */
    private final class Node {

        private final HostId id;
        private final DaemonIdentity identity;
        private final View view;
        private final PartitionStateMachine partitions;
        private final Map<TimerKey, Long> timers = new HashMap<>();
        private final Deque<Runnable> heldActions = new ArrayDeque<>();
        private StateMachine stateMachine;
        private boolean crashed;
        private boolean paused;

        Node(HostId id) {
            this.id = id;
            Location location = new Location(FakeCluster.REGION, new DataCentreId("trnava-a"));
            this.identity = new DaemonIdentity(id, nowMs, location, "127.0.0.1:1");
            this.view = new View(this);
            this.partitions = new PartitionStateMachine(
                    identity,
                    view,
                    new FactBroadcast(),
                    settings,
                    new SplittableRandom(id.value().hashCode()),
                    new MetricRegistry());
            factory.install(identity, partitions, new FakeCluster.Installer() {
                @Override
                public <T extends StateMachine & PartitionClient> void install(T installed) {
                    stateMachine = installed;
                    partitions.register(installed);
                }
            });
        }

        void offer(Event event) {
            act(out -> {
                partitions.on(event, nowMs, out);
                stateMachine.on(event, nowMs, out);
            });
        }

        void act(Consumer<Effects> action) {
            if (crashed) {
                return;
            }
            if (paused) {
                heldActions.add(() -> act(action));
                return;
            }
            Effects out = new Effects();
            action.accept(out);
            out.list().forEach(this::apply);
        }

        void resume() {
            paused = false;
            while (!heldActions.isEmpty()) {
                heldActions.poll().run();
            }
        }

        private void apply(Effect effect) {
            if (effect instanceof Effect.Append append) {
                append(append);
            } else if (effect instanceof Effect.ReadLog read) {
                after(LOG_LATENCY_MS, () -> read(read, nowMs + read.waitMs()));
            } else if (effect instanceof Effect.Schedule schedule) {
                schedule(schedule.key(), schedule.dueAtMs());
            } else if (effect instanceof Effect.Unschedule unschedule) {
                timers.remove(unschedule.key());
            } else if (effect instanceof Effect.Send send) {
                after(PEER_LATENCY_MS, () -> deliver(send));
            } else if (effect instanceof Effect.Reply reply) {
                recordReply(reply);
            }
        }

        private void deliver(Effect.Send send) {
            Node to = nodes.get(send.to());
            if (to != null) {
                to.offer(new Event.PeerMessageReceived(id, send.message()));
            }
        }

        private void schedule(TimerKey key, long dueAtMs) {
            timers.put(key, dueAtMs);
            after(Math.max(0, dueAtMs - nowMs), () -> {
                if (timers.getOrDefault(key, Long.MIN_VALUE) == dueAtMs) {
                    timers.remove(key);
                    offer(new Event.TimerDue(key));
                }
            });
        }

        private void append(Effect.Append append) {
            AppendFault fault = outage ? AppendFault.REQUEST_LOST : faults.faultOf(appends++);
            if (fault == AppendFault.REFUSED) {
                after(LOG_LATENCY_MS, () -> offer(failed(append, false)));
            } else if (fault != AppendFault.NONE) {
                after(APPEND_TIMEOUT_MS, () -> offer(failed(append, true)));
            }
            if (fault == AppendFault.NONE || fault == AppendFault.RESPONSE_LOST) {
                after(LOG_LATENCY_MS, () -> write(append, fault == AppendFault.NONE));
            }
        }

        private void write(Effect.Append append, boolean respond) {
            long offset = log.append(append.stream(), append.payload(), nowMs);
            if (respond) {
                after(1, () -> offer(new Event.Appended(append.stream(), append.appendNumber(), offset)));
            }
        }

        private Event failed(Effect.Append append, boolean mayHaveTakenEffect) {
            return new Event.AppendFailed(append.stream(), append.appendNumber(), mayHaveTakenEffect, 0);
        }

        private void read(Effect.ReadLog read, long untilMs) {
            if (outage) {
                offer(new Event.LogReadFailed(read.stream(), read.purpose(), read.fromOffset()));
                return;
            }
            long from = log.start(read.stream(), read.fromOffset());
            List<LogRecord> page = log.read(read.stream(), from, read.maxBytes());
            if (page.isEmpty() && nowMs < untilMs) {
                waitForRecords(read, untilMs);
                return;
            }
            offer(new Event.LogRead(read.stream(), read.purpose(), read.fromOffset(), page, from + page.size(), 0));
        }

        private void waitForRecords(Effect.ReadLog read, long untilMs) {
            boolean[] resumed = new boolean[1];
            Runnable retry = () -> after(1, () -> {
                if (!resumed[0]) {
                    resumed[0] = true;
                    read(read, untilMs);
                }
            });
            log.await(retry);
            after(untilMs - nowMs, retry);
        }
    }

    /** A daemon's view of the members of the cluster. */
    private final class View implements MembershipView {

        private final Node self;
        private final Map<HostId, Member> members = new TreeMap<>();
        private long version;

        View(Node self) {
            this.self = self;
        }

        void addMembers(Collection<Node> others) {
            others.stream()
                    .filter(other -> !other.crashed)
                    .forEach(other -> members.put(other.id, member(other, MemberState.ALIVE)));
        }

        void set(Node node, MemberState state) {
            Member before = members.get(node.id);
            Member after = member(node, state);
            members.put(node.id, after);
            version++;
            self.act(out -> self.partitions.memberChanged(before, after, nowMs, out));
        }

        private Member member(Node node, MemberState state) {
            return new Member(
                    node.id, node.identity.location(), node.identity.peerAddress(), node.identity.incarnation(), state);
        }

        @Override
        public Member self() {
            return member(self, MemberState.ALIVE);
        }

        @Override
        public List<Member> members() {
            return members.values().stream()
                    .filter(member -> member.state() != MemberState.DEAD)
                    .toList();
        }

        @Override
        public Optional<Member> find(HostId host) {
            return Optional.ofNullable(members.get(host));
        }

        @Override
        public Optional<String> address(HostId host) {
            return find(host).map(Member::address);
        }

        @Override
        public long version() {
            return version;
        }
    }

    /** Delivers facts to every daemon. */
    private final class FactBroadcast implements Dissemination {

        @Override
        public void publish(Fact fact, long atMs, Effects out) {
            for (Node node : nodes.values()) {
                after(PEER_LATENCY_MS, () -> node.act(effects -> node.partitions.factReceived(fact, nowMs, effects)));
            }
        }

        @Override
        public void subscribe(String slice, FactListener listener) {
            throw new UnsupportedOperationException(
                    "subscriptions are not supported: the cluster delivers facts directly");
        }
    }
}
