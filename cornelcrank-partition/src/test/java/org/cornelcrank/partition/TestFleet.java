package org.cornelcrank.partition;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.TimerKey;

/** Runs several partition state machines on one fake log, in virtual time. */
final class TestFleet {

    static final RegionId REGION = new RegionId("zapad");
    static final long LOG_LATENCY_MS = 5;
    static final long LOG_BYTES_PER_MS = 10_000;
    static final long PEER_LATENCY_MS = 1;
    static final long APPEND_TIMEOUT_MS = 200;

    private record Task(long atMs, long order, Runnable action) {}

    private final PartitionSettings settings;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
    private final Map<HostId, Daemon> daemons = new TreeMap<>();
    private final List<String> changes = new ArrayList<>();
    private final FakeLog log = new FakeLog();
    private final long seed;
    private long nowMs = 1_000_000;
    private long order;

    TestFleet(PartitionSettings settings, long seed) {
        this.settings = settings;
        this.seed = seed;
    }

    /** Starts a daemon, or restarts the one with the same name. */
    Daemon start(String name) {
        Daemon daemon = new Daemon(new HostId(name));
        daemons.put(daemon.host(), daemon);
        daemon.join();
        return daemon;
    }

    FakeLog log() {
        return log;
    }

    long nowMs() {
        return nowMs;
    }

    List<String> changes() {
        return changes;
    }

    Daemon daemon(String name) {
        return daemons.get(new HostId(name));
    }

    void runFor(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
            Task task = tasks.poll();
            nowMs = Math.max(nowMs, task.atMs());
            task.action().run();
        }
        nowMs = endMs;
    }

    void after(long delayMs, Runnable action) {
        tasks.add(new Task(nowMs + delayMs, order++, action));
    }

    /** Returns the daemons that consider themselves owner of the partition. */
    List<Daemon> owners(PartitionId partition) {
        return daemons.values().stream()
                .filter(daemon -> !daemon.crashed && daemon.stateMachine.owns(partition))
                .toList();
    }

    Daemon owner(PartitionId partition) {
        List<Daemon> owners = owners(partition);
        if (owners.size() != 1) {
            throw new AssertionError("partition must have one owner but had " + owners + "\n" + trace());
        }
        return owners.get(0);
    }

    /** Sets the state of a member in the views of all running daemons. */
    void announce(HostId host, MemberState state) {
        for (Daemon daemon : daemons.values()) {
            if (!daemon.crashed) {
                daemon.view.set(host, state);
            }
        }
    }

    String trace() {
        return "seed " + seed + "\n" + String.join("\n", changes);
    }

    /** A daemon that runs only the partition state machine. */
    final class Daemon {

        private final DaemonIdentity identity;
        private final TestMembership view;
        private final PartitionStateMachine stateMachine;
        private final LedgerClient client = new LedgerClient();
        private final MetricRegistry metrics = new MetricRegistry();
        private final Map<TimerKey, Long> timers = new TreeMap<>(Comparator.comparing(TimerKey::name));
        private final Deque<Event> deferredEvents = new ArrayDeque<>();
        private boolean crashed;
        private boolean paused;
        private boolean logUnreachable;

        private Daemon(HostId host) {
            Location location = new Location(REGION, new DataCentreId("trnava-a"));
            this.identity = new DaemonIdentity(host, nowMs, location, "127.0.0.1:1");
            this.view = new TestMembership(this);
            this.stateMachine = new PartitionStateMachine(
                    identity,
                    view,
                    new TestDissemination(),
                    settings,
                    new SplittableRandom(seed + host.value().hashCode()),
                    metrics);
            stateMachine.register(client);
        }

        HostId host() {
            return identity.host();
        }

        PartitionStateMachine stateMachine() {
            return stateMachine;
        }

        LedgerClient client() {
            return client;
        }

        Ledger ledger(PartitionId partition) {
            return client.owned().get(partition);
        }

        long counter(String name) {
            return metrics.counter(name).getCount();
        }

        long propose(PartitionId partition, String text, boolean urgent) {
            long[] number = new long[1];
            runAndExecute(out -> number[0] = stateMachine.propose(
                    partition,
                    new DurableRecord(LedgerClient.SLICE, ByteString.copyFromUtf8(text)),
                    urgent,
                    nowMs,
                    out));
            client.recordProposed(number[0], nowMs);
            return number[0];
        }

        void runAndExecute(Consumer<Effects> action) {
            Effects out = new Effects();
            action.accept(out);
            out.list().forEach(this::execute);
        }

        void handle(Event event) {
            if (crashed) {
                return;
            }
            if (paused) {
                deferredEvents.add(event);
                return;
            }
            runAndExecute(out -> stateMachine.on(event, nowMs, out));
        }

        /** Crashes the daemon; the others see it as dead after the given detection time. */
        void crash(long detectedAfterMs) {
            crashed = true;
            after(detectedAfterMs, () -> announce(host(), MemberState.DEAD));
        }

        void pause() {
            paused = true;
        }

        void resume() {
            paused = false;
            while (!deferredEvents.isEmpty()) {
                handle(deferredEvents.poll());
            }
        }

        /** Sets the state of a member in the view of this daemon only. */
        void setMemberState(HostId host, MemberState state) {
            view.set(host, state);
        }

        void logUnreachable(boolean unreachable) {
            logUnreachable = unreachable;
        }

        void stop() {
            announce(host(), MemberState.LEAVING);
            handle(new Event.StopRequested());
        }

        @Override
        public String toString() {
            return host().value();
        }

        private void join() {
            for (Daemon daemon : daemons.values()) {
                view.members.put(daemon.host(), daemon.view.self());
            }
            handle(new Event.Started());
            announce(host(), MemberState.ALIVE);
        }

        private void execute(Effect effect) {
            if (effect instanceof Effect.Append append) {
                append(append);
            } else if (effect instanceof Effect.ReadLog read) {
                after(LOG_LATENCY_MS, () -> read(read, nowMs + read.waitMs()));
            } else if (effect instanceof Effect.Schedule schedule) {
                schedule(schedule.key(), schedule.dueAtMs());
            } else if (effect instanceof Effect.Send send) {
                after(PEER_LATENCY_MS, () -> deliver(send));
            } else if (effect instanceof Effect.StateChanged changed) {
                changes.add(nowMs + " " + this + ": " + changed.text());
            }
        }

        private void deliver(Effect.Send send) {
            Daemon to = daemons.get(send.to());
            if (to != null) {
                to.handle(new Event.PeerMessageReceived(host(), send.message()));
            }
        }

        private void schedule(TimerKey key, long dueAtMs) {
            timers.put(key, dueAtMs);
            after(Math.max(0, dueAtMs - nowMs), () -> {
                if (timers.getOrDefault(key, Long.MIN_VALUE) == dueAtMs) {
                    timers.remove(key);
                    handle(new Event.TimerDue(key));
                }
            });
        }

        private void append(Effect.Append append) {
            FakeLog.AppendFault fault = logUnreachable ? FakeLog.AppendFault.REQUEST_LOST : log.nextFault();
            if (fault == FakeLog.AppendFault.REFUSED) {
                after(LOG_LATENCY_MS, () -> handle(failed(append, false)));
                return;
            }
            if (fault != FakeLog.AppendFault.NONE) {
                after(APPEND_TIMEOUT_MS, () -> handle(failed(append, true)));
            }
            if (fault != FakeLog.AppendFault.REQUEST_LOST) {
                after(LOG_LATENCY_MS, () -> write(append, fault == FakeLog.AppendFault.NONE));
            }
        }

        private void write(Effect.Append append, boolean confirmed) {
            long offset = log.append(append.stream(), append.payload(), nowMs);
            if (confirmed) {
                after(1, () -> handle(new Event.Appended(append.stream(), append.appendNumber(), offset)));
            }
        }

        private Event failed(Effect.Append append, boolean mayHaveTakenEffect) {
            return new Event.AppendFailed(append.stream(), append.appendNumber(), mayHaveTakenEffect, 0);
        }

        private void read(Effect.ReadLog read, long untilMs) {
            if (log.isUnavailable() || logUnreachable) {
                handle(new Event.LogReadFailed(read.stream(), read.purpose(), read.fromOffset()));
                return;
            }
            FakeLog.Page page = log.read(read.stream(), read.fromOffset(), read.maxBytes());
            if (page.records().isEmpty() && nowMs < untilMs) {
                holdRead(read, untilMs);
                return;
            }
            long bytes = page.records().stream()
                    .mapToLong(record -> record.payload().size())
                    .sum();
            after(bytes / LOG_BYTES_PER_MS, () -> respond(read, page));
        }

        private void respond(Effect.ReadLog read, FakeLog.Page page) {
            handle(new Event.LogRead(
                    read.stream(),
                    read.purpose(),
                    read.fromOffset(),
                    page.records(),
                    page.nextOffset(),
                    page.oldestOffset()));
        }

        private void holdRead(Effect.ReadLog read, long untilMs) {
            boolean[] responded = new boolean[1];
            Runnable respond = () -> {
                if (!responded[0]) {
                    responded[0] = true;
                    read(read, untilMs);
                }
            };
            log.awaitAppend(read.stream(), () -> after(1, respond));
            after(untilMs - nowMs, respond);
        }
    }

    /** The membership view of one daemon, set by the test. */
    private final class TestMembership implements MembershipView {

        private final Daemon daemon;
        private final Map<HostId, Member> members = new TreeMap<>();
        private long version;

        private TestMembership(Daemon daemon) {
            this.daemon = daemon;
            members.put(daemon.host(), member(daemon, MemberState.ALIVE));
        }

        private void set(HostId host, MemberState state) {
            Member before = members.get(host);
            Member after = member(daemons.get(host), state);
            members.put(host, after);
            version++;
            daemon.runAndExecute(out -> daemon.stateMachine.memberChanged(before, after, nowMs, out));
        }

        private Member member(Daemon subject, MemberState state) {
            return new Member(
                    subject.host(),
                    subject.identity.location(),
                    subject.identity.peerAddress(),
                    subject.identity.incarnation(),
                    state);
        }

        @Override
        public Member self() {
            return members.get(daemon.host());
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

    /** Delivers facts to every running daemon. */
    private final class TestDissemination implements Dissemination {

        @Override
        public void publish(Fact fact, long atMs, Effects out) {
            for (Daemon daemon : daemons.values()) {
                after(PEER_LATENCY_MS, () -> {
                    if (!daemon.crashed && !daemon.paused) {
                        daemon.runAndExecute(effects -> daemon.stateMachine.factReceived(fact, nowMs, effects));
                    }
                });
            }
        }

        @Override
        public void subscribe(String slice, FactListener listener) {
            throw new UnsupportedOperationException("the test fleet delivers facts itself");
        }
    }
}
