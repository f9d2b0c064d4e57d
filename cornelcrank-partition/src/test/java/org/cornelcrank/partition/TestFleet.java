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

/** Several partition duties on one fake log, in virtual time. */
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

    /** Starts a daemon, or starts it again if there was one of the name. */
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

    /** Returns the daemons that believe that they own the partition. */
    List<Daemon> owners(PartitionId partition) {
        return daemons.values().stream()
                .filter(daemon -> !daemon.crashed && daemon.duty.owns(partition))
                .toList();
    }

    Daemon owner(PartitionId partition) {
        List<Daemon> owners = owners(partition);
        if (owners.size() != 1) {
            throw new AssertionError("partition must have one owner but had " + owners + "\n" + trace());
        }
        return owners.get(0);
    }

    /** Tells all living daemons what state a member is in. */
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

    /** One daemon with nothing but the partition duty. */
    final class Daemon {

        private final DaemonIdentity identity;
        private final View view;
        private final PartitionStateMachine duty;
        private final LedgerClient client = new LedgerClient();
        private final MetricRegistry metrics = new MetricRegistry();
        private final Map<TimerKey, Long> timers = new TreeMap<>(Comparator.comparing(TimerKey::name));
        private final Deque<Event> heldBack = new ArrayDeque<>();
        private boolean crashed;
        private boolean paused;
        private boolean cutFromLog;

        private Daemon(HostId host) {
            Location location = new Location(REGION, new DataCentreId("trnava-a"));
            this.identity = new DaemonIdentity(host, nowMs, location, "127.0.0.1:1");
            this.view = new View(this);
            this.duty = new PartitionStateMachine(
                    identity,
                    view,
                    new Spread(),
                    settings,
                    new SplittableRandom(seed + host.value().hashCode()),
                    metrics);
            duty.register(client);
        }

        HostId host() {
            return identity.host();
        }

        PartitionStateMachine duty() {
            return duty;
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
            act(out -> number[0] = duty.propose(
                    partition,
                    new DurableRecord(LedgerClient.SLICE, ByteString.copyFromUtf8(text)),
                    urgent,
                    nowMs,
                    out));
            client.proposed(number[0], nowMs);
            return number[0];
        }

        void act(Consumer<Effects> action) {
            Effects out = new Effects();
            action.accept(out);
            out.list().forEach(this::carryOut);
        }

        void offer(Event event) {
            if (crashed) {
                return;
            }
            if (paused) {
                heldBack.add(event);
                return;
            }
            act(out -> duty.on(event, nowMs, out));
        }

        /** Stops at once without a word; the others are told after the time that detection takes. */
        void crash(long detectedAfterMs) {
            crashed = true;
            after(detectedAfterMs, () -> announce(host(), MemberState.DEAD));
        }

        void pause() {
            paused = true;
        }

        void resume() {
            paused = false;
            while (!heldBack.isEmpty()) {
                offer(heldBack.poll());
            }
        }

        /** Makes this daemon alone believe something of a member. */
        void believe(HostId host, MemberState state) {
            view.set(host, state);
        }

        void cutFromLog(boolean cut) {
            cutFromLog = cut;
        }

        void stop() {
            announce(host(), MemberState.LEAVING);
            offer(new Event.StopRequested());
        }

        @Override
        public String toString() {
            return host().value();
        }

        private void join() {
            for (Daemon daemon : daemons.values()) {
                view.members.put(daemon.host(), daemon.view.self());
            }
            offer(new Event.Started());
            announce(host(), MemberState.ALIVE);
        }

        private void carryOut(Effect effect) {
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
                to.offer(new Event.PeerMessageReceived(host(), send.message()));
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
            FakeLog.AppendFault fault = cutFromLog ? FakeLog.AppendFault.REQUEST_LOST : log.nextFault();
            if (fault == FakeLog.AppendFault.REFUSED) {
                after(LOG_LATENCY_MS, () -> offer(failed(append, false)));
                return;
            }
            if (fault != FakeLog.AppendFault.NONE) {
                after(APPEND_TIMEOUT_MS, () -> offer(failed(append, true)));
            }
            if (fault != FakeLog.AppendFault.REQUEST_LOST) {
                after(LOG_LATENCY_MS, () -> write(append, fault == FakeLog.AppendFault.NONE));
            }
        }

        private void write(Effect.Append append, boolean answered) {
            long offset = log.append(append.stream(), append.payload(), nowMs);
            if (answered) {
                after(1, () -> offer(new Event.Appended(append.stream(), append.appendNumber(), offset)));
            }
        }

        private Event failed(Effect.Append append, boolean mayHaveTakenEffect) {
            return new Event.AppendFailed(append.stream(), append.appendNumber(), mayHaveTakenEffect, 0);
        }

        private void read(Effect.ReadLog read, long untilMs) {
            if (log.isOut() || cutFromLog) {
                offer(new Event.LogReadFailed(read.stream(), read.purpose(), read.fromOffset()));
                return;
            }
            FakeLog.Page page = log.read(read.stream(), read.fromOffset(), read.maxBytes());
            if (page.records().isEmpty() && nowMs < untilMs) {
                hold(read, untilMs);
                return;
            }
            long bytes = page.records().stream()
                    .mapToLong(record -> record.payload().size())
                    .sum();
            after(bytes / LOG_BYTES_PER_MS, () -> answer(read, page));
        }

        private void answer(Effect.ReadLog read, FakeLog.Page page) {
            offer(new Event.LogRead(
                    read.stream(),
                    read.purpose(),
                    read.fromOffset(),
                    page.records(),
                    page.nextOffset(),
                    page.oldestOffset()));
        }

        private void hold(Effect.ReadLog read, long untilMs) {
            boolean[] answered = new boolean[1];
            Runnable answer = () -> {
                if (!answered[0]) {
                    answered[0] = true;
                    read(read, untilMs);
                }
            };
            log.awaitAppend(read.stream(), () -> after(1, answer));
            after(untilMs - nowMs, answer);
        }
    }

    /** What one daemon believes of the others; set by the test. */
    private final class View implements MembershipView {

        private final Daemon daemon;
        private final Map<HostId, Member> members = new TreeMap<>();
        private long version;

        private View(Daemon daemon) {
            this.daemon = daemon;
            members.put(daemon.host(), member(daemon, MemberState.ALIVE));
        }

        private void set(HostId host, MemberState state) {
            Member before = members.get(host);
            Member after = member(daemons.get(host), state);
            members.put(host, after);
            version++;
            daemon.act(out -> daemon.duty.memberChanged(before, after, nowMs, out));
        }

        private Member member(Daemon of, MemberState state) {
            return new Member(
                    of.host(), of.identity.location(), of.identity.peerAddress(), of.identity.incarnation(), state);
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

    /** Spreads facts to every living daemon. */
    private final class Spread implements Dissemination {

        @Override
        public void publish(Fact fact, long atMs, Effects out) {
            for (Daemon daemon : daemons.values()) {
                after(PEER_LATENCY_MS, () -> {
                    if (!daemon.crashed && !daemon.paused) {
                        daemon.act(effects -> daemon.duty.factReceived(fact, nowMs, effects));
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
