package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.TimerKey;

/** Drives several configuration duties before one log in virtual time. */
final class ConfigCluster {

    static final Caller OPERATOR = new Caller(new TeamPath("/ops"), "ops", Caller.Scope.OPERATOR);

    final FakeConfigurationLog log = new FakeConfigurationLog();
    final Map<String, Node> nodes = new TreeMap<>();
    private final ConfigMessageCodec codec = new ConfigMessageCodec();
    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
    private final SplittableRandom random;
    private Predicate<String> cutFromLog = host -> false;
    private BiPredicate<String, String> cutPeers = (from, to) -> false;
    private long nowMs = 1_000_000;
    private long order;

    ConfigCluster(long seed) {
        random = new SplittableRandom(seed);
    }

    long nowMs() {
        return nowMs;
    }

    void cutFromLog(Predicate<String> hosts) {
        cutFromLog = hosts;
    }

    void cutPeers(BiPredicate<String, String> cut) {
        cutPeers = cut;
    }

    Node start(String host) {
        Node node = new Node(host);
        nodes.put(host, node);
        node.handle(new Event.Started());
        return node;
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

    private void later(long delayMs, Runnable action) {
        queue.add(new Scheduled(nowMs + delayMs, order++, action));
    }

    /** One daemon, whose data centre is the first letter of its name. */
    final class Node implements MembershipView {
        final String host;
        final ConfigStateMachine duty;
        final Map<Long, CallerReply> replies = new HashMap<>();
        final List<Effect> explained = new ArrayList<>();
        private final Member member;
        private final Map<TimerKey, Long> timers = new HashMap<>();
        private long requests;

        Node(String host) {
            this.host = host;
            Location location = new Location(new RegionId("region"), new DataCentreId(host.substring(0, 1)));
            this.member = new Member(new HostId(host), location, host + ":1", nowMs, MemberState.ALIVE);
            DaemonIdentity identity = new DaemonIdentity(member.host(), nowMs, location, member.address());
            this.duty = new ConfigStateMachine(
                    identity, this, ConfigSettings.defaults(), new MetricRegistry(), random.split());
        }

        /** Sends a command, and returns the number under which the reply will be found. */
        long ask(CallerCommand command) {
            return ask(OPERATOR, command);
        }

        long ask(Caller caller, CallerCommand command) {
            long number = ++requests;
            RequestId request = new RequestId(new HostId(host), 1, number);
            handle(new Event.CommandReceived(request, caller, command));
            return number;
        }

        CallerReply askAndWait(CallerCommand command) {
            long number = ask(command);
            runFor(10_000);
            return replies.get(number);
        }

        CallerReply set(String path, String value) {
            return askAndWait(new ChangeSetting(path, Optional.empty(), Optional.of(value)));
        }

        Optional<String> value(String path) {
            return entry(path).flatMap(SettingEntry::value);
        }

        Optional<SettingEntry> entry(String path) {
            long number = ask(new WatchSettings(path, 0, 0));
            runFor(0);
            CallerReply reply = replies.get(number);
            return reply instanceof SettingList list ? list.entries().stream().findFirst() : Optional.empty();
        }

        @Override
        public Member self() {
            return member;
        }

        @Override
        public List<Member> members() {
            return nodes.values().stream().map(node -> node.member).toList();
        }

        @Override
        public Optional<Member> find(HostId other) {
            return Optional.ofNullable(nodes.get(other.value())).map(node -> node.member);
        }

        @Override
        public Optional<String> address(HostId other) {
            return find(other).map(Member::address);
        }

        @Override
        public long version() {
            return nodes.size();
        }

        private void handle(Event event) {
            if (nodes.get(host) != this) {
                return;
            }
            Effects out = new Effects();
            duty.on(event, nowMs, out);
            out.list().forEach(this::carryOut);
        }

        private void carryOut(Effect effect) {
            if (effect instanceof Effect.Schedule schedule) {
                timers.put(schedule.key(), schedule.dueAtMs());
                later(Math.max(0, schedule.dueAtMs() - nowMs), () -> timerDue(schedule));
            } else if (effect instanceof Effect.Append append) {
                later(5, () -> append(append));
            } else if (effect instanceof Effect.ReadLog read) {
                later(5, () -> read(read, nowMs + read.waitMs()));
            } else if (effect instanceof Effect.Send send) {
                send(send);
            } else if (effect instanceof Effect.Reply reply) {
                replies.put(reply.request().number(), reply.reply());
            } else if (effect instanceof Effect.Explain) {
                explained.add(effect);
            }
        }

        private void timerDue(Effect.Schedule schedule) {
            if (timers.getOrDefault(schedule.key(), -1L) == schedule.dueAtMs()) {
                timers.remove(schedule.key());
                handle(new Event.TimerDue(schedule.key()));
            }
        }

        private void append(Effect.Append append) {
            Event answer = cutFromLog.test(host)
                    ? new Event.AppendFailed(append.stream(), append.appendNumber(), false, 0)
                    : log.append(append, nowMs);
            later(5, () -> handle(answer));
        }

        private void read(Effect.ReadLog read, long untilMs) {
            boolean holds = !log.out && !cutFromLog.test(host) && !log.hasRecordsAt(read.fromOffset());
            if (holds && nowMs < untilMs) {
                later(20, () -> read(read, untilMs));
                return;
            }
            Event answer = cutFromLog.test(host)
                    ? new Event.LogReadFailed(read.stream(), read.purpose(), read.fromOffset())
                    : log.read(read);
            later(5, () -> handle(answer));
        }

        private void send(Effect.Send send) {
            ByteString bytes = codec.encode(send.message());
            String to = send.to().value();
            if (cutPeers.test(host, to)) {
                return;
            }
            later(2, () -> {
                if (nodes.containsKey(to)) {
                    nodes.get(to).handle(received(bytes));
                }
            });
        }

        private Event received(ByteString bytes) {
            try {
                return new Event.PeerMessageReceived(member.host(), codec.decode(bytes));
            } catch (InvalidProtocolBufferException e) {
                throw new AssertionError(e);
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
