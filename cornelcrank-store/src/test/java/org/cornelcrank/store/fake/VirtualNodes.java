package org.cornelcrank.store.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.TimerKey;

/**
 * Runs the state machines of several daemons against one {@link StoreModel} in virtual time.
 *
 * <p>Not thread-safe.
 */
public final class VirtualNodes {

    /** The response time of the store, in ms. */
    public static final long STORE_MS = 5;

    /** The response time of a slow store, in ms; below the timeouts of its callers. */
    public static final long SLOW_MS = 350;

    /** The latency of a message between two daemons, in ms. */
    public static final long PEER_MS = 1;

    private static final long LATE_MS = 3_000;

    private final StoreModel store;
    private final Map<HostId, Node> nodes = new TreeMap<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final List<WaitingRead> waitingReads = new ArrayList<>();
    private final Map<RequestId, CallerReply> replies = new HashMap<>();
    private final List<String> stateChanges = new ArrayList<>();
    private final Map<RequestId, Consumer<CallerReply>> replyListeners = new HashMap<>();
    private BiFunction<HostId, StoreRequest, StoreFault> faults = (host, request) -> StoreFault.NONE;
    private BiFunction<HostId, HostId, OptionalLong> peerLatency = (from, to) -> OptionalLong.of(PEER_MS);
    private Optional<StoreNetwork> network = Optional.empty();
    private LongSupplier lateMs = () -> LATE_MS;
    private Consumer<String> trace = event -> {};
    private long nowMs = 1_000_000;
    private long lastTask;
    private long lastRequest;
    private int peerMessages;

    public VirtualNodes(StoreModel store) {
        this.store = store;
    }

    /** The fault that a request to the store meets. */
    public enum StoreFault {
        NONE,
        /** The store refuses the request. */
        REFUSED,
        /** The request takes effect, but the response is lost. */
        RESPONSE_LOST,
        /** The request takes effect at once, and the response arrives late but before the timeout. */
        SLOW,
        /** The request takes effect seconds later, and the response is lost. */
        DONE_LATE,
        /** The request is lost and has no effect. */
        REQUEST_LOST,
        /** The connection is closed at once, and the request has no effect. */
        RESET,
        /** The store reports an end before the records that it has reported earlier. */
        STALE_END
    }

    public void setFaults(BiFunction<HostId, StoreRequest, StoreFault> newFaults) {
        faults = newFaults;
    }

    /** Sets the latency in ms of a message between two daemons; empty if the message is lost. */
    public void setPeerLatency(BiFunction<HostId, HostId, OptionalLong> newPeerLatency) {
        peerLatency = newPeerLatency;
    }

    /** Lets all calls of the store that meet no other fault pass a network; without one they take {@link #STORE_MS}. */
    public void setNetwork(StoreNetwork newNetwork) {
        network = Optional.of(newNetwork);
    }

    /** Sets how long after its arrival a request with {@link StoreFault#DONE_LATE} takes effect, in ms. */
    public void setLateness(LongSupplier newLateMs) {
        lateMs = newLateMs;
    }

    /** Sets what receives the state changes and decisions of all daemons. */
    public void setTrace(Consumer<String> newTrace) {
        trace = newTrace;
    }

    public long nowMs() {
        return nowMs;
    }

    public StoreModel store() {
        return store;
    }

    /** Starts a daemon with the state machines that the factory creates for the start time. */
    public void start(HostId host, Function<Long, List<StateMachine>> stateMachines) {
        Node node = new Node(host, stateMachines.apply(nowMs));
        nodes.put(host, node);
        handle(node, new Event.Started());
    }

    /** Kills a daemon without notice. */
    public void kill(HostId host) {
        nodes.remove(host).dead = true;
        network.ifPresent(links -> links.disconnect(host));
    }

    public boolean runs(HostId host) {
        return nodes.containsKey(host);
    }

    /** Suspends a daemon; its events are held until {@link #thaw}. */
    public void freeze(HostId host) {
        nodes.get(host).frozen = true;
    }

    public void thaw(HostId host) {
        Node node = nodes.get(host);
        node.frozen = false;
        List<Runnable> heldEvents = List.copyOf(node.heldEvents);
        node.heldEvents.clear();
        heldEvents.forEach(Runnable::run);
    }

    public void stop(HostId host) {
        handle(nodes.get(host), new Event.StopRequested());
    }

    /** Lets the time limit of a daemon's stop pass. */
    public void timeOutStop(HostId host, Refusal notRun) {
        handle(nodes.get(host), new Event.StopTimedOut(notRun));
    }

    /** Writes the state of all state machines of a daemon. */
    public void dump(HostId host, StateWriter writer) {
        nodes.get(host).stateMachines.forEach(stateMachine -> stateMachine.dump(writer, nowMs));
    }

    public boolean frozen(HostId host) {
        return nodes.get(host).frozen;
    }

    public boolean quiescent(HostId host) {
        return nodes.get(host).stateMachines.stream().allMatch(StateMachine::quiescent);
    }

    /** Submits a caller's command to a daemon, and returns the id for {@link #reply}. */
    public RequestId submit(HostId host, CallerCommand command) {
        return submit(host, command, Optional.empty());
    }

    /** Submits a caller's command to a daemon; the listener receives the reply. */
    public RequestId submit(HostId host, CallerCommand command, Consumer<CallerReply> listener) {
        return submit(host, command, Optional.of(listener));
    }

    private RequestId submit(HostId host, CallerCommand command, Optional<Consumer<CallerReply>> listener) {
        RequestId id = new RequestId(host, 1, ++lastRequest);
        listener.ifPresent(present -> replyListeners.put(id, present));
        Caller caller = new Caller(new TeamPath("/callers"), "caller", Caller.Scope.CALLER);
        handle(nodes.get(host), new Event.CommandReceived(id, caller, command));
        return id;
    }

    /** Disconnects the caller of a request. */
    public void disconnect(HostId host, RequestId request) {
        handle(nodes.get(host), new Event.CallerDisconnected(request));
    }

    /** Returns the number of messages between daemons. */
    public int peerMessages() {
        return peerMessages;
    }

    public Optional<CallerReply> reply(RequestId request) {
        return Optional.ofNullable(replies.get(request));
    }

    public List<String> stateChanges() {
        return stateChanges;
    }

    /** Runs an action on behalf of a daemon, outside of an event. */
    public void act(HostId host, NodeAction action) {
        act(nodes.get(host), action);
    }

    private void act(Node node, NodeAction action) {
        if (node == null || node.dead) {
            return;
        }
        if (node.frozen) {
            node.heldEvents.add(() -> act(node, action));
        } else {
            Effects out = new Effects();
            action.act(nowMs, out);
            Deque<Event> raised = new ArrayDeque<>();
            apply(node, out, raised);
            raised.forEach(event -> handle(node, event));
        }
    }

    /** Appends to the store on behalf of an external writer, and completes waiting reads. */
    public void append(StoreRequest.Append append) {
        apply(append);
    }

    public void later(long delayMs, Runnable action) {
        tasks.add(new Task(nowMs + delayMs, ++lastTask, action));
    }

    /** Advances the virtual time, and runs the tasks that become due. */
    public void run(long durationMs) {
        long endAtMs = nowMs + durationMs;
        while (!tasks.isEmpty() && tasks.peek().atMs <= endAtMs) {
            Task task = tasks.remove();
            nowMs = Math.max(nowMs, task.atMs);
            task.action.run();
        }
        nowMs = endAtMs;
    }

    private void handle(Node node, Event event) {
        if (node == null || node.dead) {
            return;
        }
        if (node.frozen) {
            node.heldEvents.add(() -> handle(node, event));
            return;
        }
        Deque<Event> raised = new ArrayDeque<>(List.of(event));
        while (!raised.isEmpty()) {
            Effects out = new Effects();
            Event next = raised.remove();
            node.stateMachines.forEach(stateMachine -> stateMachine.on(next, nowMs, out));
            apply(node, out, raised);
        }
    }

    private void apply(Node node, Effects out, Deque<Event> raised) {
        for (Effect effect : out.list()) {
            if (effect instanceof Effect.Raise raise) {
                raised.add(raise.event());
            } else if (effect instanceof Effect.CallStore call) {
                callStore(node, call);
            } else if (effect instanceof Effect.CancelStoreCall cancel) {
                node.cancelledCalls.add(cancel.number());
                Optional.ofNullable(node.transfers.remove(cancel.number())).ifPresent(Runnable::run);
            } else if (effect instanceof Effect.Schedule timer) {
                schedule(node, timer);
            } else if (effect instanceof Effect.Unschedule timer) {
                node.timers.remove(timer.key());
            } else if (effect instanceof Effect.Send send) {
                peerMessages++;
                peerLatency
                        .apply(node.host, send.to())
                        .ifPresent(latencyMs -> later(
                                latencyMs,
                                () -> handle(
                                        nodes.get(send.to()),
                                        new Event.PeerMessageReceived(node.host, send.message()))));
            } else if (effect instanceof Effect.Reply reply) {
                Consumer<CallerReply> listener = replyListeners.remove(reply.request());
                if (listener == null) {
                    replies.put(reply.request(), reply.reply());
                } else {
                    later(0, () -> listener.accept(reply.reply()));
                }
            } else if (effect instanceof Effect.HandlingFailed failed) {
                throw new AssertionError(node.host + " failed to handle " + failed.part(), failed.cause());
            } else if (effect instanceof Effect.StateChanged change) {
                stateChanges.add(node.host + ": " + change.text());
                trace.accept(node.host + ": " + change.text());
            } else if (effect instanceof Effect.Explain explained) {
                trace.accept(node.host + ": " + explained.subject() + " " + explained.decision() + ": "
                        + explained.reason());
            }
        }
    }

    private void schedule(Node node, Effect.Schedule timer) {
        long number = ++lastTask;
        node.timers.put(timer.key(), number);
        tasks.add(new Task(Math.max(nowMs, timer.dueAtMs()), number, () -> {
            if (Long.valueOf(number).equals(node.timers.get(timer.key()))) {
                node.timers.remove(timer.key());
                handle(node, new Event.TimerDue(timer.key()));
            }
        }));
    }

    private void callStore(Node node, Effect.CallStore call) {
        StoreFault fault = faults.apply(node.host, call.request());
        switch (fault) {
            case REFUSED -> later(STORE_MS, () -> respond(node, call, new StoreResponse.NotDone("status 503")));
            case RESET -> later(STORE_MS, () -> respond(node, call, new StoreResponse.Unknown("connection reset")));
            case REQUEST_LOST -> loseResponse(node, call, () -> {});
            case RESPONSE_LOST -> loseResponse(node, call, () -> apply(call.request()));
            case SLOW -> exchange(
                    node,
                    call,
                    (request, listener) ->
                            respondNow(request, response -> later(SLOW_MS, () -> listener.accept(response))));
            case DONE_LATE -> loseResponse(
                    node, call, () -> later(lateMs.getAsLong() - STORE_MS, () -> apply(call.request())));
            case STALE_END -> exchange(
                    node,
                    call,
                    (request, listener) -> respondNow(request, response -> listener.accept(withStaleEnd(response))));
            default -> exchange(node, call, this::respondNow);
        }
    }

    /** Sends a call, over the network if there is one. */
    private void exchange(Node node, Effect.CallStore call, StoreNetwork.Handler handler) {
        network.ifPresentOrElse(
                links -> node.transfers.put(
                        call.number(),
                        links.call(node.host, call.request(), handler, response -> respond(node, call, response))),
                () -> later(STORE_MS, () -> handler.handle(call.request(), response -> respond(node, call, response))));
    }

    private void loseResponse(Node node, Effect.CallStore call, Runnable effect) {
        if (network.isEmpty()) {
            later(1_000, () -> respond(node, call, new StoreResponse.Unknown("no answer")));
        }
        exchange(node, call, (request, listener) -> effect.run());
    }

    private static StoreResponse withStaleEnd(StoreResponse response) {
        if (!(response instanceof StoreResponse.Records read) || read.records().isEmpty()) {
            return response;
        }
        long from = read.records().get(0).offset();
        return new StoreResponse.Records(List.of(), from, Math.max(0, from - 1));
    }

    private Optional<StoreResponse> apply(StoreRequest request) {
        Optional<StoreResponse> response = store.handle(request, nowMs);
        if (request instanceof StoreRequest.Append) {
            wakeReads();
        }
        return response;
    }

    private void respondNow(StoreRequest request, Consumer<StoreResponse> listener) {
        Optional<StoreResponse> response = apply(request);
        if (response.isPresent()) {
            listener.accept(response.get());
            return;
        }
        StoreRequest.Read read = (StoreRequest.Read) request;
        WaitingRead waiting = new WaitingRead(read, listener);
        waitingReads.add(waiting);
        later(read.waitMs(), () -> {
            if (waitingReads.remove(waiting)) {
                listener.accept(store.emptyRead(read));
            }
        });
    }

    private void wakeReads() {
        for (WaitingRead waiting : List.copyOf(waitingReads)) {
            store.handle(waiting.read, nowMs).ifPresent(response -> {
                waitingReads.remove(waiting);
                waiting.listener.accept(response);
            });
        }
    }

    private void respond(Node node, Effect.CallStore call, StoreResponse response) {
        node.transfers.remove(call.number());
        if (node.cancelledCalls.remove(call.number())) {
            return;
        }
        handle(node, new Event.StoreResponded(call.number(), response));
    }

    /** An action on behalf of a daemon. */
    public interface NodeAction {
        void act(long nowMs, Effects out);
    }

    private static final class Node {

        private final HostId host;
        private final List<StateMachine> stateMachines;
        private final Map<TimerKey, Long> timers = new HashMap<>();
        private final List<Runnable> heldEvents = new ArrayList<>();
        private final Set<Long> cancelledCalls = new HashSet<>();
        private final Map<Long, Runnable> transfers = new HashMap<>();
        private boolean dead;
        private boolean frozen;

        Node(HostId host, List<StateMachine> stateMachines) {
            this.host = host;
            this.stateMachines = stateMachines;
        }
    }

    private record WaitingRead(StoreRequest.Read read, Consumer<StoreResponse> listener) {}

    private record Task(long atMs, long number, Runnable action) implements Comparable<Task> {

        @Override
        public int compareTo(Task other) {
            return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(number, other.number);
        }
    }
}
