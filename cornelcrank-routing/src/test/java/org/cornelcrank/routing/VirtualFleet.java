package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.core.Verdict;

/** Routing state machines and engine models on one virtual clock, with a fixed latency between hosts of a region. */
final class VirtualFleet {

    static final long LATENCY_MS = 1;
    static final long FAR_LATENCY_MS = 30;
    static final long REPORT_INTERVAL_MS = 500;
    static final long SILENCE_MS = 300;
    static final long CONNECT_TIMEOUT_MS = 500;
    static final long PROBE_TIMEOUT_MS = 200;
    static final long MEMBER_TIMEOUT_MS = 1_500;
    static final long STORE_TIMEOUT_MS = 1_000;
    static final ServiceName SERVICE = new ServiceName("saarthi-lm");
    static final Location NORTH = location("north", "north-a");
    static final Location SOUTH = location("south", "south-a");

    final List<Node> nodes = new ArrayList<>();
    final Map<TargetId, EngineModel> engines = new TreeMap<>();
    final Map<TargetId, HostEntry> hosts = new TreeMap<>();
    final Map<RequestId, SentRequest> sentRequests = new LinkedHashMap<>();
    final List<Long> crashTimesMs = new ArrayList<>();
    final SplittableRandom random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
    private final RoutingMessageCodec codec = new RoutingMessageCodec();
    private final Map<HostId, Integer> indexes = new HashMap<>();
    private final Set<Set<HostId>> cutOff = new HashSet<>();
    private List<HostEntry> listed = List.of();
    private Supplier<RoutingPolicy> policy;
    private long order;
    private long requests;
    long nowMs = 1_000_000;
    long peerBytes;
    long peerMessages;
    boolean keepEffects;
    boolean reportsTokensOfCrashes;
    boolean resumesAnywhere;

    /** How long a silent target may make no progress on a request, in ms; zero if there is no limit. */
    long readTimeoutMs;

    RequestOptions requestOptions = RequestOptions.DEFAULTS;

    /** The directory that the daemons follow; empty if a test tells them the list of hosts itself. */
    Optional<VirtualDirectory> directory = Optional.empty();

    VirtualFleet(long seed) {
        random = new SplittableRandom(seed);
    }

    static Location location(String region, String dataCentre) {
        return new Location(new RegionId(region), new DataCentreId(dataCentre));
    }

    EngineModel addEngine(String name, Location location, int slots, long promptMs, long tokenMs) {
        EngineModel engine = new EngineModel(name, slots, promptMs, tokenMs);
        engines.put(engine.id, engine);
        hosts.put(engine.id, new HostEntry(name, HostRole.TARGET, location, "127.0.0.1:9000", Set.of(SERVICE), false));
        return engine;
    }

    EngineModel addEngine(String name, Location location, SoftwareVersion version) {
        EngineModel engine = addEngine(name, location, 8, 20, 20);
        setVersion(engine.id, version);
        return engine;
    }

    /** Lists an engine with a version of its software. */
    void setVersion(TargetId target, SoftwareVersion version) {
        HostEntry entry = hosts.get(target);
        hosts.put(
                target,
                new HostEntry(
                        entry.name(),
                        entry.role(),
                        entry.location(),
                        entry.address(),
                        entry.services(),
                        entry.leaving(),
                        entry.incarnation(),
                        version));
    }

    /** Starts an engine again under the same name and tells all daemons its new incarnation and address. */
    void replaceTarget(TargetId target, String address) {
        EngineModel engine = engines.get(target);
        crashTarget(target, 0);
        engine.up = true;
        relist(target, address, hosts.get(target).incarnation() + 1);
    }

    /** Tells all daemons another address or incarnation of a target. */
    void relist(TargetId target, String address, long incarnation) {
        HostEntry entry = hosts.get(target);
        hosts.put(
                target,
                new HostEntry(
                        entry.name(),
                        entry.role(),
                        entry.location(),
                        address,
                        entry.services(),
                        entry.leaving(),
                        incarnation,
                        entry.softwareVersion()));
        list(host -> true);
    }

    /** Tells all daemons the current list of hosts, of which some may have left. */
    void list(Predicate<HostEntry> present) {
        listAt(node -> true, present);
    }

    /** Tells some daemons the current list of hosts; the others are out of step until the next one. */
    void listAt(Predicate<Node> informed, Predicate<HostEntry> present) {
        listed = hosts.values().stream().filter(present).toList();
        if (directory.isPresent()) {
            directory.get().list(listed);
            return;
        }
        nodes.forEach(node -> node.outOfStep = !informed.test(node));
        nodes.stream().filter(informed).forEach(node -> node.handle(new Event.HostListRead(listed)));
    }

    /** Lets the daemons follow a directory in the store from now on, which holds what they have been told. */
    void followDirectory() {
        directory = Optional.of(new VirtualDirectory(this, listed));
    }

    private boolean reachesStore(Node node) {
        return node.alive && cutOff.stream().noneMatch(group -> group.contains(node.identity.host()));
    }

    /** Reads the list of hosts for a daemon, beside the one that follows changes. */
    private void confirmHosts(Node node) {
        if (directory.isPresent()) {
            directory.get().confirm(node);
            return;
        }
        long sentAtMs = nowMs;
        if (!reachesStore(node)) {
            at(nowMs + STORE_TIMEOUT_MS, () -> node.handle(new Event.HostListUnconfirmed(sentAtMs)));
            return;
        }
        at(nowMs + 2 * latencyMs(node.identity.location(), SOUTH), () -> {
            if (node.outOfStep) {
                node.outOfStep = false;
                node.handle(new Event.HostListRead(listed));
            }
            node.handle(new Event.HostListConfirmed(sentAtMs));
        });
    }

    /** Cuts a daemon off from all others. */
    void cutOff(int daemon) {
        cutOff.add(Set.of(nodes.get(daemon).identity.host()));
    }

    /** Ends the cut of a daemon; what was sent meanwhile is lost. */
    void reconnect(int daemon) {
        cutOff.remove(Set.of(nodes.get(daemon).identity.host()));
    }

    /** Cuts daemons off from all others; both sides take each other for dead after a while. */
    void cutOff(Set<Integer> daemons) {
        Set<HostId> group = hostsOf(daemons);
        cutOff.add(group);
        at(nowMs + MEMBER_TIMEOUT_MS, () -> {
            if (cutOff.contains(group)) {
                setMembersAcross(group, MemberState.DEAD);
            }
        });
    }

    /** Ends the cut of a group of daemons. */
    void reconnect(Set<Integer> daemons) {
        Set<HostId> group = hostsOf(daemons);
        cutOff.remove(group);
        setMembersAcross(group, MemberState.ALIVE);
    }

    private Set<HostId> hostsOf(Set<Integer> daemons) {
        return daemons.stream().map(daemon -> nodes.get(daemon).identity.host()).collect(Collectors.toSet());
    }

    private void setMembersAcross(Set<HostId> group, MemberState state) {
        for (Node node : nodes) {
            for (Node other : nodes) {
                HostId host = other.identity.host();
                if (other.alive && group.contains(host) != group.contains(node.identity.host())) {
                    node.membership.set(host, state);
                }
            }
        }
    }

    /** Returns whether messages between two daemons arrive. */
    boolean connected(HostId one, HostId other) {
        return cutOff.stream().noneMatch(group -> group.contains(one) != group.contains(other));
    }

    /** Kills all daemons at once; they start again after the given time, and know only the recorded versions. */
    void restartAll(long downMs, SoftwareVersion... recorded) {
        for (int i = 0; i < nodes.size(); i++) {
            killDaemon(i, Long.MAX_VALUE / 4);
        }
        at(nowMs + downMs, () -> {
            List<DaemonIdentity> restarted = nodes.stream()
                    .map(node -> new DaemonIdentity(
                            node.identity.host(),
                            node.identity.incarnation() + 1,
                            node.identity.location(),
                            node.identity.peerAddress()))
                    .toList();
            for (int i = 0; i < restarted.size(); i++) {
                nodes.set(i, new Node(i, restarted.get(i), restarted, policy.get()));
            }
            nodes.forEach(node -> node.handle(new Event.Started()));
            nodes.forEach(node -> node.handle(new Event.HostListRead(listed)));
            nodes.forEach(node ->
                    node.handle(new Event.VersionsRecorded(Map.of(SERVICE, Set.copyOf(List.of(recorded))), nowMs)));
            nodes.forEach(this::pollReports);
        });
    }

    /** Starts one daemon at each location. */
    void start(List<Location> locations, Supplier<RoutingPolicy> newPolicy) {
        policy = newPolicy;
        List<DaemonIdentity> identities = new ArrayList<>();
        for (int i = 0; i < locations.size(); i++) {
            identities.add(new DaemonIdentity(new HostId("d" + i), 1, locations.get(i), "127.0.0.1:" + (8000 + i)));
        }
        for (DaemonIdentity identity : identities) {
            indexes.put(identity.host(), nodes.size());
            nodes.add(new Node(nodes.size(), identity, identities, policy.get()));
        }
        listed = List.copyOf(hosts.values());
        nodes.forEach(node -> node.handle(new Event.Started()));
        nodes.forEach(node -> node.handle(new Event.HostListRead(listed)));
        nodes.forEach(this::pollReports);
        run(2_000);
    }

    private void pollReports(Node node) {
        if (directory.isEmpty() && reachesStore(node) && !node.outOfStep) {
            node.handle(new Event.HostListConfirmed(nowMs));
        }
        for (TargetId target : List.copyOf(node.watched)) {
            EngineModel engine = engines.get(target);
            if (engine.up) {
                node.handle(new Event.TargetReported(new TargetReport(
                        target,
                        nowMs,
                        engine.slots,
                        engine.running.size(),
                        engine.queue.size(),
                        Set.of(SERVICE.value()),
                        false,
                        0)));
            } else {
                node.handle(new Event.TargetUnreachable(target, true));
            }
        }
        at(nowMs + REPORT_INTERVAL_MS, () -> {
            if (node.alive) {
                pollReports(node);
            }
        });
    }

    void at(long atMs, Runnable action) {
        tasks.add(new Task(Math.max(atMs, nowMs), order++, action));
    }

    /** Runs the tasks that are due within the time span. */
    void run(long spanMs) {
        long endMs = nowMs + spanMs;
        while (!tasks.isEmpty() && tasks.peek().atMs <= endMs) {
            Task task = tasks.remove();
            nowMs = task.atMs;
            task.action.run();
        }
        nowMs = endMs;
    }

    /** Sends a caller's request to a daemon. */
    SentRequest send(int daemon, Work work) {
        return send(daemon, work, requestOptions);
    }

    /** Sends a caller's request with its own options to a daemon. */
    SentRequest send(int daemon, Work work, RequestOptions options) {
        RequestId id = new RequestId(nodes.get(daemon).identity.host(), 1, ++requests);
        SentRequest request = new SentRequest(id, daemon, work, nowMs);
        request.options = options;
        sentRequests.put(id, request);
        OnlineRequest command = new OnlineRequest(
                new TeamPath("/nilavu/kiosk"),
                SERVICE,
                work.urgency,
                nowMs + work.deadlineMs,
                work.repeatable,
                true,
                work.prefixes,
                work.sharedParts,
                work.fingerprint,
                work.tokens,
                true,
                options);
        Caller caller = new Caller(new TeamPath("/nilavu"), "k", Caller.Scope.CALLER);
        nodes.get(daemon).handle(new Event.CommandReceived(id, caller, command));
        return request;
    }

    void crashTarget(TargetId target, long downMs) {
        EngineModel engine = engines.get(target);
        crashTimesMs.add(nowMs);
        engine.up = false;
        List<EngineModel.Job> lost = new ArrayList<>(engine.running.values());
        lost.addAll(engine.queue);
        for (EngineModel.Job job : lost) {
            int tokens = engine.stop(job, nowMs);
            int reported = reportsTokensOfCrashes ? tokens : 0;
            ended(engine, job, failed(FailureKind.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, reported));
        }
        engine.keptTokens.clear();
        at(nowMs + downMs, () -> engine.up = true);
    }

    void killDaemon(int daemon, long detectedAfterMs) {
        Node dead = nodes.get(daemon);
        dead.alive = false;
        engines.values().forEach(engine -> {
            List<EngineModel.Job> lost = new ArrayList<>(engine.running.values());
            lost.addAll(engine.queue);
            lost.removeIf(job -> job.daemon != daemon);
            lost.forEach(job -> engine.stop(job, nowMs));
            startQueued(engine);
        });
        at(
                nowMs + detectedAfterMs,
                () -> nodes.forEach(node -> node.membership.set(dead.identity.host(), MemberState.DEAD)));
    }

    static AttemptOutcome.Failed failed(FailureKind kind, Verdict verdict, int tokens) {
        return new AttemptOutcome.Failed(verdict, kind, 0, tokens, tokens > 0, 0, ByteString.EMPTY, "");
    }

    /** Cuts a daemon off from all targets; its peers still reach it. */
    void cutFromTargets(int daemon, Cut cut) {
        Node node = nodes.get(daemon);
        node.cut = Optional.of(cut);
        endConnections(node, cut, target -> true);
    }

    /** Cuts a daemon off from one target. */
    void cutFromTarget(int daemon, TargetId target, Cut cut) {
        Node node = nodes.get(daemon);
        node.pairCuts.put(target, cut);
        endConnections(node, cut, target::equals);
    }

    /** Lets the open connections of a daemon to one target live on while new ones are refused. */
    void refuseNewConnections(int daemon, TargetId target) {
        nodes.get(daemon).pairCuts.put(target, Cut.REFUSED);
    }

    private void endConnections(Node node, Cut cut, Predicate<TargetId> affected) {
        for (EngineModel.Job job : List.copyOf(node.jobs.values())) {
            if (job.relayedBy.isPresent() || !affected.test(node.targetByAttempt.get(job.attempt))) {
                continue;
            }
            if (cut == Cut.SILENT) {
                job.unreachable = true;
                reportSilence(node, job.attempt);
            } else {
                EngineModel engine = engines.get(node.targetByAttempt.get(job.attempt));
                int tokens = engine.stop(job, nowMs);
                startQueued(engine);
                node.attemptEnded(job.attempt, failed(FailureKind.TARGET_GONE, Verdict.MAY_HAVE_RUN, tokens));
            }
        }
        for (Node caller : nodes) {
            for (EngineModel.Job job : List.copyOf(caller.jobs.values())) {
                TargetId target = caller.targetByAttempt.get(job.attempt);
                if (!job.relayedBy.equals(Optional.of(node.identity.host())) || !affected.test(target)) {
                    continue;
                }
                if (cut == Cut.SILENT) {
                    job.unreachable = true;
                    reportSilence(caller, job.attempt);
                } else {
                    stop(caller, engines.get(target), job, FailureKind.CONNECTION_LOST);
                }
            }
        }
    }

    /** Ends the cut of a daemon from the targets. */
    void reconnectToTargets(int daemon) {
        nodes.get(daemon).cut = Optional.empty();
    }

    /** Ends the cut of a daemon from one target. */
    void reconnectToTarget(int daemon, TargetId target) {
        nodes.get(daemon).pairCuts.remove(target);
    }

    /** Makes a target silent for some time; it listens meanwhile, and goes on after that. */
    void silence(TargetId target, long silentMs) {
        EngineModel engine = engines.get(target);
        engine.silentUntilMs = nowMs + silentMs;
        for (Node node : nodes) {
            node.jobs.keySet().stream()
                    .filter(attempt -> target.equals(node.targetByAttempt.get(attempt)))
                    .forEach(attempt -> {
                        reportSilence(node, attempt);
                        checkReadTimeout(node, attempt);
                    });
        }
    }

    /** Ends an attempt of which nothing arrives, unless the request must not run again; the core decides on streams. */
    private void checkReadTimeout(Node node, AttemptId attempt) {
        if (readTimeoutMs == 0) {
            return;
        }
        at(nowMs + readTimeoutMs, () -> {
            EngineModel.Job job = node.jobs.get(attempt);
            SentRequest request = node.requestsByAttempt.get(attempt);
            if (job == null || job.unreachable || !silent(node, job) || !request.work.repeatable) {
                return;
            }
            EngineModel engine = engines.get(node.targetByAttempt.get(attempt));
            boolean streaming = request.partReceived || engine.generatedTokens(job, nowMs) > 0;
            if (streaming && request.failedRuns + 1 < request.options.maxRuns()) {
                node.handle(new Event.AttemptStalled(attempt));
            } else if (!streaming && request.options.maxRuns() > 1) {
                stop(node, engine, job, FailureKind.TIMED_OUT);
            }
            checkReadTimeout(node, attempt);
        });
    }

    private boolean silent(Node node, EngineModel.Job job) {
        return job.unreachable || nowMs < engines.get(node.targetByAttempt.get(job.attempt)).silentUntilMs;
    }

    private void reportSilence(Node node, AttemptId attempt) {
        at(nowMs + SILENCE_MS, () -> {
            EngineModel.Job job = node.jobs.get(attempt);
            if (job != null && silent(node, job)) {
                node.handle(new Event.AttemptSilent(attempt));
                reportSilence(node, attempt);
            }
        });
    }

    private void abandon(Node node, AttemptId attempt) {
        EngineModel.Job job = node.jobs.get(attempt);
        if (job != null && !job.unreachable && silent(node, job)) {
            stop(node, engines.get(node.targetByAttempt.get(attempt)), job, FailureKind.PATH_LOST);
        } else if (job != null && job.unreachable) {
            Verdict verdict = job.startedAtMs < 0 ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            node.attemptEnded(attempt, failed(FailureKind.PATH_LOST, verdict, 0));
        }
    }

    /** Fails an attempt to connect by the way in which the daemon is cut off. */
    private void failToConnect(Node node, Effect.Dispatch dispatch, Cut cut) {
        AttemptOutcome.Failed refused = failed(FailureKind.CONNECTION_REFUSED, Verdict.NOT_RUN, 0);
        if (cut == Cut.REFUSED) {
            afterLatency(node, dispatch.target(), () -> node.attemptEnded(dispatch.attempt(), refused));
            return;
        }
        EngineModel.Job job =
                new EngineModel.Job(dispatch.attempt(), workOf(dispatch.source()), dispatch.resume(), node.index);
        job.unreachable = true;
        node.jobs.put(dispatch.attempt(), job);
        reportSilence(node, dispatch.attempt());
        at(nowMs + CONNECT_TIMEOUT_MS, () -> {
            if (node.jobs.containsKey(dispatch.attempt())) {
                node.attemptEnded(dispatch.attempt(), refused);
            }
        });
    }

    private void probe(Node node, Effect.ProbeTarget probe) {
        EngineModel engine = engines.get(probe.target());
        long latencyMs = 2
                * latencyMs(node.identity.location(), hosts.get(probe.target()).location());
        boolean silent = node.cutFrom(probe.target()).equals(Optional.of(Cut.SILENT));
        at(nowMs + (silent ? PROBE_TIMEOUT_MS : latencyMs), () -> {
            boolean listens = engine.up && hosts.get(probe.target()).address().equals(probe.address());
            boolean reachable = listens && node.cutFrom(probe.target()).isEmpty();
            node.handle(new Event.TargetProbed(probe.target(), probe.address(), reachable));
        });
    }

    private void dispatch(Node node, Effect.Dispatch dispatch) {
        EngineModel engine = engines.get(dispatch.target());
        Work work = workOf(dispatch.source());
        Node carrier = dispatch.relay().map(this::node).orElse(node);
        boolean relays = carrier.alive && !carrier.refusesRelays;
        if (carrier != node && (!relays || carrier.cutFrom(dispatch.target()).isPresent() || !engine.up)) {
            FailureKind kind = relays ? FailureKind.PATH_LOST : FailureKind.RELAY_FAILED;
            afterLatency(
                    node,
                    dispatch.target(),
                    () -> node.attemptEnded(dispatch.attempt(), failed(kind, Verdict.NOT_RUN, 0)));
            return;
        }
        if (carrier == node && node.cutFrom(dispatch.target()).isPresent()) {
            failToConnect(node, dispatch, node.cutFrom(dispatch.target()).get());
            return;
        }
        if (!engine.up || !hosts.get(dispatch.target()).address().equals(dispatch.address())) {
            afterLatency(
                    node,
                    dispatch.target(),
                    () -> node.attemptEnded(
                            dispatch.attempt(), failed(FailureKind.CONNECTION_REFUSED, Verdict.NOT_RUN, 0)));
            return;
        }
        if (engine.refuses) {
            AttemptOutcome.Failed refused = failed(FailureKind.OVERLOADED, Verdict.NOT_RUN, 0);
            afterLatency(node, dispatch.target(), () -> node.attemptEnded(dispatch.attempt(), refused));
            return;
        }
        EngineModel.Job job = new EngineModel.Job(dispatch.attempt(), work, dispatch.resume(), node.index);
        if (!resumesAnywhere
                && job.resumedFrom > 0
                && engine.keptTokens.getOrDefault(dispatch.resume().get().key(), -1) < job.resumedFrom) {
            AttemptOutcome.Failed gone = new AttemptOutcome.Failed(
                    Verdict.NOT_RUN, FailureKind.REJECTED, 410, 0, false, 0, ByteString.EMPTY, "gone");
            afterLatency(node, dispatch.target(), () -> node.attemptEnded(dispatch.attempt(), gone));
            return;
        }
        job.relayedBy = dispatch.relay();
        engine.arrivalsAtMs.add(nowMs);
        node.jobs.put(dispatch.attempt(), job);
        if (silent(node, job)) {
            reportSilence(node, dispatch.attempt());
            checkReadTimeout(node, dispatch.attempt());
        }
        at(nowMs + dispatch.timeoutMs(), () -> stop(node, engine, job, FailureKind.TIMED_OUT));
        if (engine.hasFreeSlot()) {
            start(engine, job);
        } else {
            engine.queue.add(job);
            node.queuedAtEngine++;
        }
    }

    private Node node(HostId host) {
        return nodes.get(indexes.get(host));
    }

    private Work workOf(DispatchSource source) {
        if (source instanceof DispatchSource.FromCaller caller) {
            return sentRequests.get(caller.request()).work;
        }
        String body = ((DispatchSource.Inline) source).body().toStringUtf8();
        return Work.batch(Integer.parseInt(body));
    }

    private void start(EngineModel engine, EngineModel.Job job) {
        engine.start(job, nowMs);
        Node node = nodes.get(job.daemon);
        if (job.resumedFrom == 0 && node.requestsByAttempt.containsKey(job.attempt)) {
            node.requestsByAttempt.get(job.attempt).runs++;
        }
        at(nowMs + job.promptMs, () -> {
            if (engine.running.get(job.attempt) == job) {
                Event.TargetResponded response =
                        new Event.TargetResponded(engine.id, job.startedAtMs, engine.maxRequestsPerSecond);
                at(nowMs + LATENCY_MS, () -> {
                    if (!job.unreachable) {
                        node.attemptStarted(job.attempt, response);
                    }
                });
            }
        });
        long durationMs = job.promptMs + engine.tokenMs * (job.work.tokens - job.resumedFrom);
        at(nowMs + durationMs, () -> complete(engine, job));
        if (job.work.crashesAfterMs > 0) {
            at(nowMs + job.work.crashesAfterMs, () -> {
                if (engine.running.get(job.attempt) == job) {
                    crashTarget(engine.id, 3_000);
                }
            });
        }
    }

    private void complete(EngineModel engine, EngineModel.Job job) {
        if (engine.running.get(job.attempt) != job) {
            return;
        }
        engine.running.remove(job.attempt);
        engine.countOccupied(job, nowMs);
        ended(engine, job, new AttemptOutcome.Succeeded(200, "text/event-stream", ByteString.EMPTY, job.work.tokens));
        startQueued(engine);
    }

    private void startQueued(EngineModel engine) {
        while (engine.hasFreeSlot() && !engine.queue.isEmpty()) {
            EngineModel.Job job = engine.queue.remove();
            start(engine, job);
        }
    }

    private void stop(Node node, EngineModel engine, EngineModel.Job job, FailureKind kind) {
        if (engine.running.get(job.attempt) != job && !engine.queue.contains(job)) {
            return;
        }
        int tokens = engine.stop(job, nowMs);
        ended(engine, job, failed(kind, Verdict.MAY_HAVE_RUN, tokens));
        startQueued(engine);
    }

    private void ended(EngineModel engine, EngineModel.Job job, AttemptOutcome outcome) {
        if (job.unreachable) {
            return;
        }
        if (outcome instanceof AttemptOutcome.Succeeded && nowMs < engine.silentUntilMs) {
            at(engine.silentUntilMs, () -> ended(engine, job, outcome));
            return;
        }
        Node node = nodes.get(job.daemon);
        afterLatency(node, engine.id, () -> node.attemptEnded(job.attempt, outcome));
    }

    private void afterLatency(Node node, TargetId target, Runnable action) {
        at(nowMs + latencyMs(node.identity.location(), hosts.get(target).location()), action);
    }

    static long latencyMs(Location from, Location to) {
        return from.distanceTo(to) == Location.Distance.OTHER_REGION ? FAR_LATENCY_MS : LATENCY_MS;
    }

    private void disseminate(Node from, Fact fact) {
        for (Node node : nodes) {
            if (node != from
                    && (fact.scope() == Fact.Scope.EVERYWHERE
                            || node.identity
                                    .location()
                                    .dataCentre()
                                    .equals(from.identity.location().dataCentre()))) {
                at(nowMs + 200, () -> node.receive(fact));
            }
        }
    }

    long count(String name) {
        return nodes.stream()
                .mapToLong(node -> node.metrics.counter("routing." + name).getCount())
                .sum();
    }

    /** The load of a request on an engine, and the request's properties for routing. */
    record Work(
            int tokens,
            List<Long> prefixes,
            Urgency urgency,
            long deadlineMs,
            boolean repeatable,
            long fingerprint,
            long crashesAfterMs,
            List<Long> sharedParts) {

        static Work online(int tokens, long fingerprint) {
            return new Work(tokens, List.of(), Urgency.IMMEDIATE, 10_000, true, fingerprint, 0, List.of());
        }

        static Work batch(int tokens) {
            return new Work(tokens, List.of(), Urgency.BATCH, 60_000, true, 0, 0, List.of());
        }

        Work crashing(long afterMs) {
            return new Work(tokens, prefixes, urgency, deadlineMs, repeatable, fingerprint, afterMs, sharedParts);
        }

        Work notRepeatable() {
            return new Work(tokens, prefixes, urgency, deadlineMs, false, fingerprint, crashesAfterMs, sharedParts);
        }

        Work withDeadline(long newDeadlineMs) {
            return new Work(
                    tokens, prefixes, urgency, newDeadlineMs, repeatable, fingerprint, crashesAfterMs, sharedParts);
        }

        Work withPrefixes(List<Long> newPrefixes) {
            return new Work(
                    tokens, newPrefixes, urgency, deadlineMs, repeatable, fingerprint, crashesAfterMs, sharedParts);
        }

        Work withSharedParts(Long... newParts) {
            return new Work(
                    tokens, prefixes, urgency, deadlineMs, repeatable, fingerprint, crashesAfterMs, List.of(newParts));
        }
    }

    /** A caller's request with its outcome. */
    static final class SentRequest {

        final RequestId id;
        final int daemon;
        final Work work;
        final Set<SoftwareVersion> versions = new LinkedHashSet<>();
        final long sentAtMs;
        final List<TargetId> dispatchedTo = new ArrayList<>();
        final List<Long> dispatchedAtMs = new ArrayList<>();
        int runs;
        long firstTokenAtMs = -1;
        long endedAtMs = -1;
        Object reply;
        int replies;
        int failedRuns;
        RequestOptions options;

        /** Whether the caller has received a part of the response. */
        boolean partReceived;

        SentRequest(RequestId id, int daemon, Work work, long sentAtMs) {
            this.id = id;
            this.daemon = daemon;
            this.work = work;
            this.sentAtMs = sentAtMs;
        }

        @Override
        public String toString() {
            return completed() ? "completed" : id + " at " + sentAtMs + ": " + reply + " on " + dispatchedTo;
        }

        boolean completed() {
            return reply instanceof OnlineEnded;
        }

        boolean completedInTime() {
            return completed() && endedAtMs - sentAtMs <= work.deadlineMs;
        }

        long waitMs() {
            return firstTokenAtMs - sentAtMs;
        }
    }

    /** One daemon with its fake collaborators. */
    final class Node {

        final int index;
        final DaemonIdentity identity;
        final FakeMembership membership;
        final FakeSettings settings = new FakeSettings();
        final FakeDissemination dissemination = new FakeDissemination();
        final MetricRegistry metrics = new MetricRegistry();
        final RoutingStateMachine stateMachine;
        final Map<AttemptId, EngineModel.Job> jobs = new HashMap<>();
        final List<Effect> effects = new ArrayList<>();
        final Map<AttemptId, SentRequest> requestsByAttempt = new HashMap<>();
        private final Map<AttemptId, TargetId> targetByAttempt = new HashMap<>();
        private final Map<String, Long> timers = new TreeMap<>();
        Set<TargetId> watched = Set.of();
        boolean alive = true;
        boolean refusesRelays;

        final List<Long> unconfirmedAsOfMs = new ArrayList<>();

        /** Whether this daemon has not read the current list of hosts. */
        boolean outOfStep;

        Optional<Cut> cut = Optional.empty();
        private final Map<TargetId, Cut> pairCuts = new TreeMap<>();
        long queuedAtEngine;
        long probes;
        long checkBytes;

        /** Whether the results of probes never arrive. */
        boolean losesProbes;

        /** How late answers of the store arrive, in ms. */
        long storeLagMs;

        final Set<Long> recordedStreams = new HashSet<>();
        private final List<Runnable> inbox = new ArrayList<>();
        private boolean frozen;

        Node(int index, DaemonIdentity identity, List<DaemonIdentity> all, RoutingPolicy policy) {
            this.index = index;
            this.identity = identity;
            this.membership = new FakeMembership(identity.host(), all);
            this.stateMachine = new RoutingStateMachine(
                    identity, membership, dissemination, settings, policy, random.split(), metrics);
        }

        long nowMs() {
            return nowMs;
        }

        private Optional<Cut> cutFrom(TargetId target) {
            return cut.or(() -> Optional.ofNullable(pairCuts.get(target)));
        }

        /** Lets the daemon handle nothing for some time; what arrives meanwhile is handled in order after that. */
        void freeze(long frozenMs) {
            frozen = true;
            at(nowMs + frozenMs, () -> {
                frozen = false;
                inbox.forEach(Runnable::run);
                inbox.clear();
            });
        }

        boolean awake() {
            return alive && !frozen;
        }

        void whenAwake(Runnable action) {
            if (frozen) {
                inbox.add(action);
            } else {
                action.run();
            }
        }

        /** Runs an action after a pause unless the daemon is dead by then. */
        void afterPause(long pauseMs, Runnable action) {
            at(nowMs + pauseMs, () -> {
                if (alive) {
                    action.run();
                }
            });
        }

        void handle(Event event) {
            if (event instanceof Event.HostListUnconfirmed unconfirmed) {
                unconfirmedAsOfMs.add(unconfirmed.asOfMs());
            }
            whenAwake(() -> {
                if (alive) {
                    Effects out = new Effects();
                    stateMachine.on(event, nowMs, out);
                    execute(out);
                }
            });
        }

        void receive(Fact fact) {
            whenAwake(() -> {
                if (alive) {
                    Effects out = new Effects();
                    dissemination.receive(fact, nowMs, out);
                    execute(out);
                }
            });
        }

        void attemptStarted(AttemptId attempt, Event.TargetResponded response) {
            whenAwake(() -> startedWhenAwake(attempt, response));
        }

        private void startedWhenAwake(AttemptId attempt, Event.TargetResponded response) {
            SentRequest request = requestsByAttempt.get(attempt);
            if (request != null && request.firstTokenAtMs < 0) {
                request.firstTokenAtMs = nowMs;
            }
            if (request != null) {
                request.versions.add(hosts.get(targetByAttempt.get(attempt)).softwareVersion());
            }
            handle(response);
            handle(new Event.AttemptStarted(attempt));
        }

        void attemptEnded(AttemptId attempt, AttemptOutcome outcome) {
            whenAwake(() -> endedWhenAwake(attempt, outcome));
        }

        private void endedWhenAwake(AttemptId attempt, AttemptOutcome outcome) {
            jobs.remove(attempt);
            SentRequest request = requestsByAttempt.get(attempt);
            if (request != null && outcome instanceof AttemptOutcome.Failed failure) {
                request.partReceived |= failure.bytesReachedCaller();
                boolean counts =
                        !failure.verdict().equals(Verdict.NOT_RUN) && failure.kind() != FailureKind.TARGET_GONE;
                request.failedRuns += counts ? 1 : 0;
            }
            handle(new Event.AttemptEnded(attempt, outcome));
        }

        void execute(Effects out) {
            for (Effect effect : out.list()) {
                execute(effect);
            }
            dissemination.takePublished().forEach(fact -> disseminate(this, fact));
        }

        private void execute(Effect effect) {
            if (effect instanceof Effect.Send send) {
                peerSend(send);
            } else if (effect instanceof Effect.Schedule schedule) {
                schedule(schedule.key(), schedule.dueAtMs());
            } else if (effect instanceof Effect.Dispatch dispatch) {
                if (dispatch.source() instanceof DispatchSource.FromCaller caller) {
                    requestsByAttempt.put(dispatch.attempt(), sentRequests.get(caller.request()));
                    sentRequests.get(caller.request()).dispatchedTo.add(dispatch.target());
                    sentRequests.get(caller.request()).dispatchedAtMs.add(nowMs);
                }
                targetByAttempt.put(dispatch.attempt(), dispatch.target());
                afterLatency(this, dispatch.target(), () -> dispatch(this, dispatch));
            } else if (effect instanceof Effect.CancelAttempt cancel) {
                cancel(cancel.attempt());
            } else if (effect instanceof Effect.ProbeTarget probe) {
                probes++;
                if (!losesProbes) {
                    probe(this, probe);
                }
            } else if (effect instanceof Effect.AbandonAttempt abandoned) {
                abandon(this, abandoned.attempt());
            } else if (effect instanceof Effect.EndStalledAttempt stalled) {
                EngineModel.Job job = jobs.get(stalled.attempt());
                if (job != null) {
                    stop(this, engines.get(targetByAttempt.get(stalled.attempt())), job, FailureKind.TIMED_OUT);
                }
            } else if (effect instanceof Effect.Reply reply) {
                SentRequest request = sentRequests.get(reply.request());
                if (request != null) {
                    request.reply = reply.reply();
                    request.replies++;
                    request.endedAtMs = nowMs;
                }
            } else if (effect instanceof Effect.Raise raise
                    && raise.event() instanceof Event.HostListConfirmationRequested) {
                confirmHosts(this);
            } else if (effect instanceof Effect.WatchTargets watch) {
                watched = Set.copyOf(watch.addresses().keySet());
            }
            if (keepEffects) {
                effects.add(effect);
            }
        }

        private void schedule(TimerKey key, long dueAtMs) {
            timers.put(key.name(), dueAtMs);
            at(
                    dueAtMs,
                    () -> whenAwake(() -> {
                        if (timers.getOrDefault(key.name(), -1L) == dueAtMs) {
                            timers.remove(key.name());
                            handle(new Event.TimerDue(key));
                        }
                    }));
        }

        private void cancel(AttemptId attempt) {
            TargetId target = targetByAttempt.get(attempt);
            afterLatency(this, target, () -> {
                EngineModel.Job job = jobs.get(attempt);
                if (job != null) {
                    stop(this, engines.get(target), job, FailureKind.CANCELLED);
                }
            });
        }

        private void peerSend(Effect.Send send) {
            ByteString bytes = codec.encode(send.message());
            peerBytes += bytes.size();
            peerMessages++;
            if (send.message() instanceof RoutingMessage.ReachabilityRequested
                    || send.message() instanceof RoutingMessage.ReachabilityReply) {
                checkBytes += bytes.size();
            }
            if (!connected(identity.host(), send.to())) {
                return;
            }
            Optional<Node> to = Optional.ofNullable(indexes.get(send.to())).map(nodes::get);
            to.ifPresent(node -> at(nowMs + latencyMs(identity.location(), node.identity.location()), () -> {
                if (send.message() instanceof RoutingMessage.StreamBegun begun) {
                    node.recordedStreams.add(begun.key());
                }
                try {
                    node.handle(new Event.PeerMessageReceived(identity.host(), codec.decode(bytes)));
                } catch (InvalidProtocolBufferException e) {
                    throw new IllegalStateException("codec must decode what it has encoded", e);
                }
            }));
        }
    }

    /** How a daemon is cut off from the targets. */
    enum Cut {
        /** Nothing arrives, on old connections or new ones. */
        SILENT,
        /** Connections are reset, and new ones refused. */
        REFUSED
    }

    private record Task(long atMs, long order, Runnable action) {}
}
