package org.cornelcrank.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Counter;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CorrelationId;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.gateway.RouteTableSettings;
import org.cornelcrank.routing.BatchCapacity;
import org.cornelcrank.routing.BatchPermit;
import org.cornelcrank.routing.BatchWork;
import org.cornelcrank.store.KeyedTopicFollower;
import org.cornelcrank.store.StoreCalls;

/**
 * Accepts, runs and reads jobs of many items.
 *
 * <p>Each partition is run by the daemon to which the store's group of owners assigns it. Results are written under an
 * epoch, which fences off former owners. Invariant: no daemon loses or changes records that the store has acknowledged.
 * Not thread-safe: confined to the daemon's event loop.
 */
public final class JobStateMachine implements StateMachine, BatchCapacity.BatchCapacityListener {

    public static final String NAME = "job";

    private static final TimerKey RENEW = new TimerKey(NAME, "renew");
    private static final TimerKey TICK = new TimerKey(NAME, "tick");
    private static final TimerKey READS = new TimerKey(NAME, "reads");
    private static final TimerKey WRITES = new TimerKey(NAME, "writes");

    /**
     * The interval of the checks for due work, in ms; the timer runs only while there are jobs or pending handovers.
     */
    private static final long TICK_MS = 100;

    /** How long the store may hold a read of new jobs open, in ms; bounds the time to detect a dead connection. */
    private static final KeyedTopicFollower.Times FOLLOW_TIMES = KeyedTopicFollower.Times.immediate(2_500);

    private final DaemonIdentity identity;
    private final JobSettings settings;
    private final StoreCalls store;
    private final RandomGenerator random;
    private final Counter unreadableJobs = new Counter();
    private final PartitionLeases leases;
    private final JobWrites writes;
    private final JobReads reads;
    private final JobContext context;
    private final PartitionOwners owners;
    private final Map<Integer, OwnedPartition> owned = new TreeMap<>();
    private final Map<Integer, Long> lostEpochs = new HashMap<>();
    private long ownerships;
    private long staleTimers;
    private long staleReplies;
    private boolean ticking;
    private boolean stopping;
    private boolean leftGroup;
    private Optional<Refusal> closedWith = Optional.empty();

    /** Creates the state machine, which stays idle until it receives {@link Event.Started}. */
    public JobStateMachine(
            DaemonIdentity identity,
            JobSettings settings,
            RouteTableSettings routes,
            StoreCalls store,
            Dissemination dissemination,
            BatchCapacity capacity,
            RandomGenerator random) {
        this.identity = Objects.requireNonNull(identity, "identity must not be null");
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.random = Objects.requireNonNull(random, "random must not be null");
        this.leases = new PartitionLeases(identity.writer(), RENEW, settings, store, this::leasesRenewed);
        this.owners = new PartitionOwners(identity.host(), dissemination, this::ownerPublished);
        CorrelationId.Sequence ids = new CorrelationId.Sequence(identity);
        this.writes = new JobWrites(settings, store, WRITES, owners, ids);
        this.reads = new JobReads(settings, READS, new PeerOwnerClient(), new StoreReads(store), ids);
        this.context = new JobContext(settings, routes, capacity, writes, new OwnedPartitionsListener());
        routes.subscribe((nowMs, out) -> owned.values().forEach(partition -> partition.tick(nowMs, out)));
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Returns the counter of jobs that this daemon found complete in the store but could not decode; thread-safe. */
    public Counter unreadableJobs() {
        return unreadableJobs;
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        if (event instanceof Event.Started) {
            leases.renew(nowMs, out);
        } else if (event instanceof Event.TimerDue due
                && due.key().stateMachine().equals(NAME)) {
            timerDue(due.key(), nowMs, out);
        } else if (event instanceof Event.CommandReceived received) {
            commandReceived(received.request(), received.command(), nowMs, out);
        } else if (event instanceof Event.CallerDisconnected disconnected) {
            writes.callerDisconnected(disconnected.request());
            reads.callerDisconnected(disconnected.request(), nowMs, out);
        } else if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof JobMessage message) {
            messageReceived(received.from(), message, nowMs, out);
        } else if (event instanceof Event.StopRequested) {
            stopping = true;
            leave(nowMs, out);
        } else if (event instanceof Event.StopTimedOut timedOut) {
            endCommands(timedOut.notRun(), nowMs, out);
        }
    }

    private void messageReceived(HostId from, JobMessage message, long nowMs, Effects out) {
        if (message instanceof JobMessage.Reply reply && !reply.id().isOf(identity)) {
            staleReplies++;
            out.add(new Effect.StateChanged(
                    NAME, "reply of " + from + " is ignored: it belongs to an earlier incarnation of this daemon"));
        } else if (message instanceof JobMessage.ReadRequest request) {
            readRequested(from, request, nowMs, out);
        } else if (message instanceof JobMessage.ReadReply reply) {
            reads.ownerReplied(from, reply, nowMs, out);
        } else if (message instanceof JobMessage.WriteRequest request) {
            writes.relay(from, request, out);
        } else if (message instanceof JobMessage.WriteReply reply) {
            writes.relayReplied(reply, nowMs, out);
        }
    }

    private void timerDue(TimerKey key, long nowMs, Effects out) {
        if (key.equals(RENEW)) {
            leases.renew(nowMs, out);
            owners.republish(owned.values(), nowMs, out);
        } else if (key.equals(TICK)) {
            tick(nowMs, out);
        } else if (key.equals(READS)) {
            reads.timerDue(nowMs, out);
        } else if (key.equals(WRITES)) {
            writes.timerDue(nowMs, out);
        } else if (List.copyOf(owned.values()).stream().noneMatch(partition -> partition.timerDue(key, nowMs, out))) {
            staleTimers++;
            out.add(new Effect.StateChanged(
                    NAME, "timer " + key.name() + " is ignored: it belongs to an earlier ownership"));
        }
    }

    private void tick(long nowMs, Effects out) {
        ticking = false;
        owned.values().forEach(partition -> partition.tick(nowMs, out));
        if (stopping) {
            leave(nowMs, out);
        } else {
            handOverPartitions(nowMs, out);
        }
        scheduleTick(nowMs, out);
    }

    private void scheduleTick(long nowMs, Effects out) {
        boolean needed = stopping && !leftGroup
                || !owned.keySet().stream().allMatch(leases::holds)
                || !owned.values().stream().allMatch(OwnedPartition::idle);
        if (needed && !ticking) {
            ticking = true;
            out.schedule(TICK, nowMs + TICK_MS);
        }
    }

    /** Replies to all open commands, and refuses those that arrive later. */
    private void endCommands(Refusal notRun, long nowMs, Effects out) {
        closedWith = Optional.of(notRun);
        owned.values().forEach(partition -> partition.endReads(nowMs, out));
        reads.refuseAll(notRun, nowMs, out);
        writes.endAll(notRun, out);
    }

    private void commandReceived(RequestId request, CallerCommand command, long nowMs, Effects out) {
        if (closedWith.isPresent() && isJobCommand(command)) {
            out.reply(request, closedWith.get());
            return;
        }
        if (command instanceof SubmitJob submit) {
            writes.submit(request, submit, nowMs, out);
        } else if (command instanceof EndJob end) {
            writes.end(request, end, nowMs, out);
        } else if (command instanceof ReadJob read) {
            reads.read(request, read, nowMs, out);
        } else if (command instanceof ReadItemBody read) {
            reads.readBody(request, read, nowMs, out);
        }
        scheduleTick(nowMs, out);
    }

    private static boolean isJobCommand(CallerCommand command) {
        return command instanceof SubmitJob
                || command instanceof EndJob
                || command instanceof ReadJob
                || command instanceof ReadItemBody;
    }

    private void readRequested(HostId from, JobMessage.ReadRequest readRequest, long nowMs, Effects out) {
        read(readRequest, (reply, atMs, effects) -> effects.send(from, reply), nowMs, out);
    }

    private void read(JobMessage.ReadRequest readRequest, WaitingReads.ReadCallback callback, long nowMs, Effects out) {
        OwnedPartition partition = owned.get(JobRecords.partitionOf(readRequest.job(), settings.partitions()));
        if (partition == null) {
            callback.replied(JobMessage.ReadReply.notOwner(readRequest.id()), nowMs, out);
        } else {
            partition.read(readRequest, callback, nowMs, out);
        }
    }

    private void leasesRenewed(Set<Integer> held, long nowMs, Effects out) {
        handOverPartitions(nowMs, out);
        scheduleTick(nowMs, out);
        for (int number : held) {
            OwnedPartition partition = owned.get(number);
            if (partition == null) {
                OwnedPartition added =
                        new OwnedPartition(number, ++ownerships, context, new StorePartitionLogFactory());
                owned.put(number, added);
                added.open(Math.max(lostEpochs.getOrDefault(number, 0L), owners.version(number)), nowMs, out);
            } else if (!stopping) {
                partition.resume(nowMs, out);
            }
        }
    }

    /** Releases the partitions that are assigned to other daemons, each once its progress is stored. */
    private void handOverPartitions(long nowMs, Effects out) {
        for (OwnedPartition partition : List.copyOf(owned.values())) {
            if (!leases.holds(partition.number()) && partition.prepareHandover(nowMs, out)) {
                release(partition, "assigned to another daemon", nowMs, out);
            }
        }
        if (owned.keySet().stream().allMatch(leases::holds)) {
            leases.acknowledge(nowMs, out);
        }
    }

    private void release(OwnedPartition partition, String reason, long nowMs, Effects out) {
        owned.remove(partition.number());
        lostEpochs.merge(partition.number(), partition.log().epoch(), Math::max);
        partition.close(nowMs, out);
        out.add(new Effect.StateChanged(NAME, "owns partition " + partition.number() + " no longer: " + reason));
    }

    /** Ends all runs, and releases all partitions once the output of the runs is stored. */
    private void leave(long nowMs, Effects out) {
        if (leftGroup) {
            return;
        }
        boolean written = true;
        for (OwnedPartition partition : owned.values()) {
            written &= partition.prepareHandover(nowMs, out);
        }
        if (written) {
            leftGroup = true;
            for (OwnedPartition partition : List.copyOf(owned.values())) {
                release(partition, "the daemon stops", nowMs, out);
            }
            leases.leave(out);
        }
        scheduleTick(nowMs, out);
    }

    @Override
    public boolean quiescent() {
        return leftGroup && writes.idle();
    }

    @Override
    public void permitGranted(BatchPermit permit, long nowMs, Effects out) {
        OwnedPartition partition = owned.get(JobRecords.partitionOf(permit.job(), settings.partitions()));
        if (partition == null || stopping) {
            context.capacity().releaseUnused(permit, nowMs, out);
            return;
        }
        partition.permitGranted(permit, nowMs, out);
    }

    @Override
    public void workEnded(
            BatchPermit permit,
            BatchWork work,
            AttemptOutcome outcome,
            boolean preempted,
            Optional<ResumePoint> resume,
            long nowMs,
            Effects out) {
        for (OwnedPartition partition : owned.values()) {
            if (partition.workEnded(permit, outcome, nowMs, out)) {
                return;
            }
        }
    }

    /** Releases a partition that another daemon owns under a higher epoch, even while the store cannot be reached. */
    private void ownerPublished(int number, HostId owner, long version, long nowMs, Effects out) {
        OwnedPartition partition = owned.get(number);
        if (partition != null && partition.isSupersededBy(version)) {
            lostEpochs.merge(number, version, Math::max);
            release(partition, owner + " owns it under epoch " + version, nowMs, out);
        }
        reads.ownerChanged(number, owner, nowMs, out);
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("generation", leases.generation());
        writer.field("staleTimers", staleTimers);
        writer.field("staleReplies", staleReplies);
        reads.dump(writer);
        writer.table("partitions", "partition", "ready", "epoch", "jobs", "runningItems", "unreadableJobs");
        for (OwnedPartition partition : owned.values()) {
            writer.row(
                    partition.number(),
                    partition.ready(),
                    partition.log().epoch(),
                    partition.jobs().size(),
                    partition.runningItems(),
                    partition.unreadable().size());
        }
        writer.table("jobs", "job", "items", "listed", "remaining", "ended", "ageMs");
        for (OwnedPartition partition : owned.values()) {
            for (JobRun run : partition.jobs().values()) {
                writer.row(
                        run.id(),
                        run.content().items().size(),
                        run.listed().size(),
                        run.remaining(),
                        run.ended(),
                        nowMs - run.loadedAtMs());
            }
        }
    }

    /** Reacts to changes of the partitions that this daemon owns. */
    private final class OwnedPartitionsListener implements JobContext.PartitionListener {

        @Override
        public void jobStarted(long nowMs, Effects out) {
            scheduleTick(nowMs, out);
        }

        @Override
        public void jobUnreadable(JobId job, List<String> partKeys, long nowMs, Effects out) {
            unreadableJobs.inc();
            out.explain(
                    Subject.Kind.JOB,
                    job,
                    nowMs,
                    "cannot be decoded",
                    "records " + partKeys + "; it runs once a caller submits it again");
        }

        @Override
        public void partitionReady(int partition, long nowMs, Effects out) {
            owners.publish(owned.get(partition), nowMs, out);
            reads.ownerChanged(partition, identity.host(), nowMs, out);
            scheduleTick(nowMs, out);
        }

        @Override
        public void partitionLost(int partition, long higherEpoch, long nowMs, Effects out) {
            lostEpochs.merge(partition, higherEpoch, Math::max);
            OwnedPartition lost = owned.get(partition);
            if (lost != null) {
                release(lost, "the store has epoch " + higherEpoch, nowMs, out);
            }
        }
    }

    /** Sends reads to owners as peer messages, or handles them directly if this daemon is the owner. */
    private final class PeerOwnerClient implements JobReads.OwnerClient {

        @Override
        public Optional<HostId> likelyOwner(int partition) {
            return ownsLoaded(partition) ? Optional.of(identity.host()) : owners.ownerOf(partition);
        }

        private boolean ownsLoaded(int partition) {
            return owned.containsKey(partition) && owned.get(partition).ready();
        }

        @Override
        public void sendRead(HostId owner, JobMessage.ReadRequest readRequest, long nowMs, Effects out) {
            if (owner.equals(identity.host())) {
                read(
                        readRequest,
                        (reply, atMs, effects) -> reads.ownerReplied(identity.host(), reply, atMs, effects),
                        nowMs,
                        out);
            } else {
                out.send(owner, readRequest);
            }
        }

        @Override
        public boolean mayNotReply(int partition) {
            return !ownsLoaded(partition) && (owned.containsKey(partition) || owners.isLate(partition));
        }

        @Override
        public void late(int partition, HostId owner) {
            owners.late(partition, owner);
        }

        @Override
        public long publishedVersion(int partition) {
            return owners.version(partition);
        }

        @Override
        public boolean notOwner(int partition, HostId host, long askedAtVersion) {
            return owners.notOwner(partition, host, askedAtVersion);
        }

        @Override
        public void replied(HostId host) {
            owners.replied(host);
        }
    }

    /** Creates logs and followers that use this daemon's store. */
    private final class StorePartitionLogFactory implements OwnedPartition.PartitionLogFactory {

        @Override
        public ResultLog resultLog(int partition, TimerKey timer, ResultLog.Listener listener) {
            return new ResultLog(
                    JobRecords.results(partition), timer, store, settings.maxRequestBytes(), random, listener);
        }

        @Override
        public KeyedTopicFollower follower(int partition, TimerKey timer, KeyedTopicFollower.Listener listener) {
            return new KeyedTopicFollower(JobRecords.jobs(partition), timer, FOLLOW_TIMES, store, random, listener);
        }
    }
}
