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
 * Runs several daemons with one state machine each over shared partitions, in virtual time.
 *
 * <p>The test injects the faults: a host crashes, pauses or loses a partition, messages are dropped, the log stops.
 * Every message is encoded and decoded on its way. Not thread-safe.
 */
public final class FakeCluster extends TestCluster {

    public static final RegionId REGION = new RegionId("zapad");

    private static final int MAX_STEPS = 1_000_000;

    private final FakePartitions partitions;
    private final PeerMessageCodec codec;
    private final NodeFactory factory;
    private final SortedMap<HostId, FakeHost> hosts = new TreeMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private Predicate<PeerMessage> droppedMessages = message -> false;
    private Runnable afterEachEvent = () -> {};
    private boolean logAvailable = true;
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
            assign(new PartitionId(REGION, index), hostNames[index % hostNames.length]);
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

    /** Starts a host, or restarts it without any of its former state. */
    public void start(String name) {
        HostId id = new HostId(name);
        Location location = new Location(REGION, new DataCentreId("trnava-a"));
        FakeHost host = new FakeHost(this, new DaemonIdentity(id, nextIncarnation++, location, "127.0.0.1:1"));
        hosts.put(id, host);
        factory.install(host.identity, host, new HostInstaller(host));
    }

    /** Crashes a host; its pending events and the proposals that the log has not appended are lost. */
    public void crash(String name) {
        HostId id = new HostId(name);
        hosts.remove(id);
        partitions.discardProposalsOf(id);
    }

    /** Crashes a host after its proposals were appended to the log, but before it could read them back. */
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

    /** Moves a partition to another host, which first replays all records that took effect. */
    public void assign(PartitionId partition, String name) {
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

    /** Moves all partitions of one host to another. */
    public void movePartitions(String from, String to) {
        for (PartitionId partition : partitions.ownedBy(new HostId(from))) {
            assign(partition, to);
        }
        run();
    }

    public void unassign(PartitionId partition) {
        partitions.owner(partition).map(hosts::get).ifPresent(old -> lose(old, partition));
        partitions.release(partition);
    }

    public String owner(PartitionId partition) {
        return partitions.owner(partition).orElseThrow().value();
    }

    public void stopLog() {
        logAvailable = false;
    }

    /** Holds appends back while the log still seems available to the daemons. */
    public void holdAppends() {
        appendsHeld = true;
    }

    /** Appends everything proposed so far; the daemons read it back as they run. */
    public void appendPending() {
        while (partitions.hasProposals()) {
            appendNext();
        }
    }

    public void startLog() {
        logAvailable = true;
        appendsHeld = false;
    }

    public boolean logAvailable() {
        return logAvailable;
    }

    public void expireLogBefore(PartitionId partition, long offset) {
        partitions.expireBefore(partition, offset);
    }

    /** Drops the messages that the predicate accepts, until it is replaced. */
    public void dropMessages(Predicate<PeerMessage> predicate) {
        droppedMessages = predicate;
    }

    /** Runs an action after the given time. */
    public void after(long ms, Runnable action) {
        actions.add(new Action(nowMs + ms, action));
    }

    /** Sets an action that runs after each event, for example to inject a fault. */
    public void afterEachEvent(Runnable action) {
        afterEachEvent = action;
    }

    /** Submits a caller's command to a host without running anything yet. */
    @Override
    public RequestId submit(String name, Caller caller, CallerCommand command) {
        FakeHost host = host(name);
        RequestId request = new RequestId(host.id(), host.identity.incarnation(), ++nextRequest);
        host.inbox.add(out -> host.stateMachine().on(new Event.CommandReceived(request, caller, command), nowMs, out));
        return request;
    }

    /** Queues an event from outside for a host, such as a grant of capacity. */
    @Override
    public void inject(HostId id, Consumer<Effects> event) {
        FakeHost host = hosts.get(id);
        if (host != null) {
            host.inbox.add(event);
        }
    }

    public void injectMessage(HostId from, HostId to, PeerMessage message) {
        inject(to, out -> hosts.get(to).stateMachine().on(new Event.PeerMessageReceived(from, message), nowMs, out));
        run();
    }

    /** Runs until nothing remains to be done at the current time. */
    @Override
    public void run() {
        for (int step = 0; step < MAX_STEPS; step++) {
            if (!handleNext() && !(logAvailable && logStep())) {
                return;
            }
        }
        throw new AssertionError("the cluster did not become idle within the maximum number of steps");
    }

    /** Advances the time and fires due timers in order. */
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
                .orElseThrow(() -> new IllegalArgumentException("host must be running but " + name + " is not"));
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
                applyEffects(host, out);
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
        List<FakePartitions.Read> reads = partitions.drainReads();
        reads.forEach(this::completeRead);
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

    private void completeRead(FakePartitions.Read read) {
        FakeHost host = hosts.get(read.host());
        if (host != null && host.identity.incarnation() == read.incarnation()) {
            host.inbox.add(out ->
                    host.client().bodiesRead(read.partition(), read.number(), partitions.bodies(read), nowMs, out));
        }
    }

    private void applyEffects(FakeHost host, Effects out) {
        effects.addAll(out.list());
        for (Effect effect : out.list()) {
            if (effect instanceof Effect.Send send) {
                send(host.id(), send);
            } else if (effect instanceof Effect.Reply reply) {
                recordReply(reply);
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
        if (receiver == null || droppedMessages.test(send.message())) {
            return;
        }
        PeerMessage message;
        try {
            message = codec.decode(codec.encode(send.message()));
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError("message cannot be encoded and decoded: " + send.message(), e);
        }
        receiver.inbox.add(out -> receiver.stateMachine().on(new Event.PeerMessageReceived(from, message), nowMs, out));
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
                    host.inbox.add(out ->
                            host.stateMachine().on(new Event.TimerDue(host.timerKeys.get(timer.getKey())), nowMs, out));
                }
            }
        }
    }

    private record Action(long dueAtMs, Runnable action) {}

    /** Creates the state machine of a host that is started. */
    public interface NodeFactory {
        void install(DaemonIdentity identity, PartitionWriter writer, Installer installer);
    }

    /** Receives the state machine that a factory created. */
    public interface Installer {
        <T extends StateMachine & PartitionClient> void install(T stateMachine);
    }

    private static final class HostInstaller implements Installer {

        private final FakeHost host;

        private HostInstaller(FakeHost host) {
            this.host = host;
        }

        @Override
        public <T extends StateMachine & PartitionClient> void install(T stateMachine) {
            host.install(stateMachine);
        }
    }
}
