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

/** Runs several configuration state machines on one fake log, in virtual time. */
final class ConfigCluster {

    static final Caller OPERATOR = new Caller(new TeamPath("/ops"), "ops", Caller.Scope.OPERATOR);

    final FakeConfigurationLog log = new FakeConfigurationLog();
    final Map<String, Daemon> daemons = new TreeMap<>();
    private final ConfigMessageCodec codec = new ConfigMessageCodec();
    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
    private final SplittableRandom random;
    private Predicate<String> logUnreachableFrom = host -> false;
    private BiPredicate<String, String> peersUnreachable = (from, to) -> false;
    private long nowMs = 1_000_000;
    private long order;

    ConfigCluster(long seed) {
        random = new SplittableRandom(seed);
    }

    long nowMs() {
        return nowMs;
    }

    void logUnreachableFrom(Predicate<String> hosts) {
        logUnreachableFrom = hosts;
    }

    void peersUnreachable(BiPredicate<String, String> unreachable) {
        peersUnreachable = unreachable;
    }

    Daemon start(String host) {
        Daemon daemon = new Daemon(host);
        daemons.put(host, daemon);
        daemon.handle(new Event.Started());
        return daemon;
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

    private void schedule(long delayMs, Runnable action) {
        queue.add(new Scheduled(nowMs + delayMs, order++, action));
    }

    /** A daemon whose data centre is the first letter of its name. */
    final class Daemon implements MembershipView {
        final String host;
        final ConfigStateMachine stateMachine;
        final Map<Long, CallerReply> replies = new HashMap<>();
        final List<Effect> explanations = new ArrayList<>();
        private final Member member;
        private final Map<TimerKey, Long> timers = new HashMap<>();
        private long requests;

        Daemon(String host) {
            this.host = host;
            Location location = new Location(new RegionId("region"), new DataCentreId(host.substring(0, 1)));
            this.member = new Member(new HostId(host), location, host + ":1", nowMs, MemberState.ALIVE);
            DaemonIdentity identity = new DaemonIdentity(member.host(), nowMs, location, member.address());
            this.stateMachine = new ConfigStateMachine(
                    identity, this, ConfigSettings.defaults(), new MetricRegistry(), random.split());
        }

        /** Sends a command, and returns the number of the request, the key of its reply in {@link #replies}. */
        long send(CallerCommand command) {
            return send(OPERATOR, command);
        }

        long send(Caller caller, CallerCommand command) {
            long number = ++requests;
            RequestId request = new RequestId(new HostId(host), 1, number);
            handle(new Event.CommandReceived(request, caller, command));
            return number;
        }

        CallerReply sendAndWait(CallerCommand command) {
            long number = send(command);
            runFor(10_000);
            return replies.get(number);
        }

        CallerReply set(String path, String value) {
            return sendAndWait(new ChangeSetting(path, Optional.empty(), Optional.of(value)));
        }

        Optional<String> value(String path) {
            return entry(path).flatMap(SettingEntry::value);
        }

        Optional<SettingEntry> entry(String path) {
            long number = send(new WatchSettings(path, 0, 0));
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
            return daemons.values().stream().map(daemon -> daemon.member).toList();
        }

        @Override
        public Optional<Member> find(HostId other) {
            return Optional.ofNullable(daemons.get(other.value())).map(daemon -> daemon.member);
        }

        @Override
        public Optional<String> address(HostId other) {
            return find(other).map(Member::address);
        }

        @Override
        public long version() {
            return daemons.size();
        }

        private void handle(Event event) {
            if (daemons.get(host) != this) {
                return;
            }
            Effects out = new Effects();
            stateMachine.on(event, nowMs, out);
            out.list().forEach(this::execute);
        }

        private void execute(Effect effect) {
            if (effect instanceof Effect.Schedule schedule) {
                timers.put(schedule.key(), schedule.dueAtMs());
                schedule(Math.max(0, schedule.dueAtMs() - nowMs), () -> timerDue(schedule));
            } else if (effect instanceof Effect.Append append) {
                schedule(5, () -> append(append));
            } else if (effect instanceof Effect.ReadLog read) {
                schedule(5, () -> read(read, nowMs + read.waitMs()));
            } else if (effect instanceof Effect.Send send) {
                send(send);
            } else if (effect instanceof Effect.Reply reply) {
                replies.put(reply.request().number(), reply.reply());
            } else if (effect instanceof Effect.Explain) {
                explanations.add(effect);
            }
        }

        private void timerDue(Effect.Schedule schedule) {
            if (timers.getOrDefault(schedule.key(), -1L) == schedule.dueAtMs()) {
                timers.remove(schedule.key());
                handle(new Event.TimerDue(schedule.key()));
            }
        }

        private void append(Effect.Append append) {
            Event response = logUnreachableFrom.test(host)
                    ? new Event.AppendFailed(append.stream(), append.appendNumber(), false, 0)
                    : log.append(append, nowMs);
            schedule(5, () -> handle(response));
        }

        private void read(Effect.ReadLog read, long untilMs) {
            boolean holds = !log.unavailable && !logUnreachableFrom.test(host) && !log.hasRecordsAt(read.fromOffset());
            if (holds && nowMs < untilMs) {
                schedule(20, () -> read(read, untilMs));
                return;
            }
            Event response = logUnreachableFrom.test(host)
                    ? new Event.LogReadFailed(read.stream(), read.purpose(), read.fromOffset())
                    : log.read(read);
            schedule(5, () -> handle(response));
        }

        private void send(Effect.Send send) {
            ByteString bytes = codec.encode(send.message());
            String to = send.to().value();
            if (peersUnreachable.test(host, to)) {
                return;
            }
            schedule(2, () -> {
                if (daemons.containsKey(to)) {
                    daemons.get(to).handle(received(bytes));
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
