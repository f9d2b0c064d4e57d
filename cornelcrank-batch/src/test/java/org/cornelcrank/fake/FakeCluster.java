package org.cornelcrank.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.partition.PartitionClient;
import org.cornelcrank.partition.PartitionState;
import org.cornelcrank.partition.PartitionWriter;

/**
 * A few daemons with one duty each over shared partitions, in virtual time.
 *
 * <p>Faults are brought about by the test: a host crashes, pauses or loses a partition, messages are dropped, the log
 * stops. Messages pass through their codec. Not thread-safe.
 */
public final class FakeCluster extends TestCluster {

    public static final RegionId REGION = new RegionId("zapad");

    private static final int MAX_STEPS = 1_000_000;

    private final FakePartitions partitions;
    private final PeerMessageCodec codec;
    private final NodeFactory factory;
    private final SortedMap<HostId, FakeHost> hosts = new TreeMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private Predicate<PeerMessage> dropped = message -> false;
    private Runnable afterEachEvent = () -> {};
    private boolean logAnswers = true;
    private boolean appendsHeld;
    private final List<Action> actions = new ArrayList<>();
    private long nowMs = 1_000_000;
    private long nextRequest;
    private long nextIncarnation = 1;

    public FakeCluster(int partitionCount, PeerMessageCodec codec, NodeFactory factory, String... hostNames) {
        this.partitions = new FakePartitions(partitionCount);
        this.codec = codec;
        this.factory = factory;
        for (String name : hostNames) {
            start(name);
        }
        for (int index = 0; index < partitionCount; index++) {
            own(new PartitionId(REGION, index), hostNames[index % hostNames.length]);
        }
        run();
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    public int appends() {
        return partitions.appends();
    }

    /** Starts a host, or starts it again with nothing of what it knew. */
    public void start(String name) {
        HostId id = new HostId(name);
        Location location = new Location(REGION, new DataCentreId("trnava-a"));
        FakeHost host = new FakeHost(this, new DaemonIdentity(id, nextIncarnation++, location, "127.0.0.1:1"));
        hosts.put(id, host);
        factory.install(host.identity, host, new HostInstaller(host));
    }

    /** Loses a host with all that waits in it; what it proposed and the log has not taken never arrives. */
    public void crash(String name) {
        HostId id = new HostId(name);
        hosts.remove(id);
        partitions.dropProposalsOf(id);
    }

    /** Loses a host after the log has taken what it proposed, but before it could read that back. */
    public void crashAfterAppend(String name) {
        pause(name);
        appendPending();
        crash(name);
    }

    public void pause(String name) {
        host(name).paused = true;
    }

    public void resume(String name) {
        host(name).paused = false;
    }

    /** Moves a partition to another host, which has read all that took effect. */
    public void own(PartitionId partition, String name) {
        partitions.owner(partition).map(hosts::get).ifPresent(old -> lose(old, partition));
        FakeHost host = host(name);
        long epoch = partitions.claim(partition, host.id());
        int claimedAt = partitions.size(partition);
        host.inbox.add(out -> {
            PartitionState state = host.client().newState(partition);
            partitions.replay(partition, claimedAt, state);
            host.states.put(partition, state);
            host.epochs.put(partition, epoch);
            host.client().ownershipGained(partition, state, nowMs, out);
        });
    }

    /** Moves every partition of one host to another. */
    public void takeOver(String from, String to) {
        for (PartitionId partition : partitions.ownedBy(new HostId(from))) {
            own(partition, to);
        }
        run();
    }

    public void disown(PartitionId partition) {
        partitions.owner(partition).map(hosts::get).ifPresent(old -> lose(old, partition));
        partitions.release(partition);
    }

    public String owner(PartitionId partition) {
        return partitions.owner(partition).orElseThrow().value();
    }

    public void stopLog() {
        logAnswers = false;
    }

    /** Holds appends back without the daemons' knowing. */
    public void stopAppends() {
        appendsHeld = true;
    }

    /** Lets the log take what was proposed so far; the answers are given as hosts run. */
    public void appendPending() {
        while (partitions.hasProposals()) {
            appendNext();
        }
    }

    public void startLog() {
        logAnswers = true;
        appendsHeld = false;
    }

    public boolean logAnswers() {
        return logAnswers;
    }

    public void expireLogBefore(PartitionId partition, long offset) {
        partitions.expireBefore(partition, offset);
    }

    /** Drops the messages that the predicate accepts, until it is replaced. */
    public void dropMessages(Predicate<PeerMessage> predicate) {
        dropped = predicate;
    }

    /** Runs an action when some time has passed. */
    public void after(long ms, Runnable action) {
        actions.add(new Action(nowMs + ms, action));
    }

    /** Runs after each event, as to crash a host there. */
    public void afterEachEvent(Runnable action) {
        afterEachEvent = action;
    }

    /** Brings a caller's command to a host, without running anything yet. */
    @Override
    public RequestId arrive(String name, Caller caller, CallerCommand command) {
        FakeHost host = host(name);
        RequestId request = new RequestId(host.id(), host.identity.incarnation(), ++nextRequest);
        host.inbox.add(out -> host.duty().on(new Event.CommandReceived(request, caller, command), nowMs, out));
        return request;
    }

    /** Handles one event of a host from outside, as a grant of capacity. */
    @Override
    public void inject(HostId id, Consumer<Effects> event) {
        FakeHost host = hosts.get(id);
        if (host != null) {
            host.inbox.add(event);
        }
    }

    public void injectRepeated(HostId from, HostId to, PeerMessage message) {
        inject(to, out -> hosts.get(to).duty().on(new Event.PeerMessageReceived(from, message), nowMs, out));
        run();
    }

    /** Runs until nothing is left to do at the present time. */
    @Override
    public void run() {
        for (int step = 0; step < MAX_STEPS; step++) {
            if (!handleNext() && !(logAnswers && logStep())) {
                return;
            }
        }
        throw new AssertionError("the cluster never comes to rest");
    }

    /** Passes time, with every timer in its order. */
    @Override
    public void advance(long ms) {
        long untilMs = nowMs + ms;
        run();
        while (nextDueMs() <= untilMs) {
            nowMs = Math.max(nowMs, nextDueMs());
            fireTimers();
            run();
        }
        nowMs = untilMs;
    }

    /** Returns the first message that any daemon sent. */
    public PeerMessage firstMessage() {
        return effects.stream()
                .filter(Effect.Send.class::isInstance)
                .map(effect -> ((Effect.Send) effect).message())
                .findFirst()
                .orElseThrow();
    }

    public List<Effect> effects() {
        return effects;
    }

    FakePartitions partitions() {
        return partitions;
    }

    private FakeHost host(String name) {
        return Optional.ofNullable(hosts.get(new HostId(name)))
                .orElseThrow(() -> new IllegalArgumentException("host must be up but " + name + " is not"));
    }

    private void lose(FakeHost host, PartitionId partition) {
        host.inbox.add(out -> {
            if (host.states.remove(partition) != null) {
                host.client().ownershipLost(partition, nowMs, out);
            }
        });
    }

    private boolean handleNext() {
        for (FakeHost host : List.copyOf(hosts.values())) {
            if (!host.paused && !host.inbox.isEmpty()) {
                Effects out = new Effects();
                host.inbox.poll().accept(out);
                carryOut(host, out);
                afterEachEvent.run();
                return true;
            }
        }
        return false;
    }

    private boolean logStep() {
        if (!appendsHeld && partitions.hasProposals()) {
            appendNext();
            return true;
        }
        List<FakePartitions.Read> reads = partitions.takeReads();
        reads.forEach(this::answerRead);
        return !reads.isEmpty();
    }

    private void appendNext() {
        Optional<FakePartitions.Applied> applied = partitions.appendNext(nowMs);
        if (applied.isEmpty()) {
            return;
        }
        FakePartitions.Proposal proposal = applied.get().proposal();
        FakeHost host = hosts.get(proposal.host());
        if (host == null) {
            return;
        }
        host.inbox.add(out -> {
            PartitionState state = host.states.get(proposal.partition());
            if (state != null && host.epochs.get(proposal.partition()) == proposal.epoch()) {
                state.apply(
                        proposal.record(),
                        applied.get().position(),
                        applied.get().writtenAtMs());
                host.client()
                        .proposalApplied(
                                proposal.partition(),
                                proposal.number(),
                                applied.get().position(),
                                nowMs,
                                out);
            }
        });
    }

    private void answerRead(FakePartitions.Read read) {
        FakeHost host = hosts.get(read.host());
        if (host != null && host.identity.incarnation() == read.incarnation()) {
            host.inbox.add(out ->
                    host.client().bodiesRead(read.partition(), read.number(), partitions.bodies(read), nowMs, out));
        }
    }

    private void carryOut(FakeHost host, Effects out) {
        effects.addAll(out.list());
        for (Effect effect : out.list()) {
            if (effect instanceof Effect.Send send) {
                send(host.id(), send);
            } else if (effect instanceof Effect.Reply reply) {
                noteReply(reply);
            } else if (effect instanceof Effect.Schedule schedule) {
                host.timers.put(schedule.key().toString(), schedule.dueAtMs());
                host.timerKeys.put(schedule.key().toString(), schedule.key());
            } else if (effect instanceof Effect.Unschedule unschedule) {
                host.timers.remove(unschedule.key().toString());
            }
        }
    }

    private void send(HostId from, Effect.Send send) {
        FakeHost receiver = hosts.get(send.to());
        if (receiver == null || dropped.test(send.message())) {
            return;
        }
        PeerMessage message;
        try {
            message = codec.decode(codec.encode(send.message()));
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError("message does not pass its codec: " + send.message(), e);
        }
        receiver.inbox.add(out -> receiver.duty().on(new Event.PeerMessageReceived(from, message), nowMs, out));
    }

    private long nextDueMs() {
        long actionDueMs = actions.stream().mapToLong(Action::dueAtMs).min().orElse(Long.MAX_VALUE);
        return Math.min(actionDueMs, nextTimerDueMs());
    }

    private long nextTimerDueMs() {
        return hosts.values().stream()
                .filter(host -> !host.paused)
                .flatMap(host -> host.timers.values().stream())
                .mapToLong(Long::longValue)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private void fireTimers() {
        List<Action> due =
                actions.stream().filter(action -> action.dueAtMs() <= nowMs).toList();
        actions.removeAll(due);
        due.forEach(action -> action.action().run());
        for (FakeHost host : List.copyOf(hosts.values())) {
            if (host.paused) {
                continue;
            }
            for (Map.Entry<String, Long> timer : List.copyOf(host.timers.entrySet())) {
                if (timer.getValue() <= nowMs) {
                    host.timers.remove(timer.getKey());
                    host.inbox.add(
                            out -> host.duty().on(new Event.TimerDue(host.timerKeys.get(timer.getKey())), nowMs, out));
                }
            }
        }
    }

    private record Action(long dueAtMs, Runnable action) {}

    /** Makes the duty of a host that starts. */
    public interface NodeFactory {
        void install(DaemonIdentity identity, PartitionWriter writer, Installer installer);
    }

    /** Takes the duty that a factory made. */
    public interface Installer {
        <T extends StateMachine & PartitionClient> void install(T duty);
    }

    private static final class HostInstaller implements Installer {

        private final FakeHost host;

        private HostInstaller(FakeHost host) {
            this.host = host;
        }

        @Override
        public <T extends StateMachine & PartitionClient> void install(T duty) {
            host.install(duty);
        }
    }
}
