package org.cornelcrank.store.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Function;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.TimerKey;

/**
 * Runs the duties of several daemons against one {@link StoreModel} in virtual time.
 *
 * <p>Not thread-safe.
 */
public final class VirtualNodes {

    /** How long the store takes to answer, in ms. */
    public static final long STORE_MS = 5;

    /** How long a slow store takes to answer, in ms: under the time that its callers give it. */
    public static final long SLOW_MS = 350;

    /** How long a message takes between two daemons, in ms. */
    public static final long PEER_MS = 1;

    private final StoreModel store;
    private final Map<HostId, Node> nodes = new TreeMap<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final List<WaitingRead> waitingReads = new ArrayList<>();
    private final Map<RequestId, CallerReply> replies = new HashMap<>();
    private final List<String> stateChanges = new ArrayList<>();
    private BiFunction<HostId, StoreRequest, StoreFault> faults = (host, request) -> StoreFault.NONE;
    private long nowMs = 1_000_000;
    private long lastTask;
    private long lastRequest;
    private int peerMessages;

    public VirtualNodes(StoreModel store) {
        this.store = store;
    }

    /** What happens to one request to the store. */
    public enum StoreFault {
        NONE,
        /** Nothing is done, and the store says so. */
        REFUSED,
        /** It is done, but the answer is lost. */
        ANSWER_LOST,
        /** It is done at once and answered late, but in time. */
        SLOW,
        /** It is done three seconds later, and nobody hears of it. */
        DONE_LATE,
        /** Nothing is done, and nobody hears of it. */
        REQUEST_LOST
    }

    public void setFaults(BiFunction<HostId, StoreRequest, StoreFault> newFaults) {
        faults = newFaults;
    }

    public long nowMs() {
        return nowMs;
    }

    public StoreModel store() {
        return store;
    }

    /** Starts a daemon; the duties are made by the factory, which gets the start time. */
    public void start(HostId host, Function<Long, List<StateMachine>> duties) {
        Node node = new Node(host, duties.apply(nowMs));
        nodes.put(host, node);
        handle(node, new Event.Started());
    }

    /** Ends a daemon without a word. */
    public void kill(HostId host) {
        nodes.remove(host).dead = true;
    }

    /** Stops a daemon's clockwork; what is due meanwhile comes when it goes on. */
    public void freeze(HostId host) {
        nodes.get(host).frozen = true;
    }

    public void thaw(HostId host) {
        Node node = nodes.get(host);
        node.frozen = false;
        List<Runnable> held = List.copyOf(node.held);
        node.held.clear();
        held.forEach(Runnable::run);
    }

    public void stop(HostId host) {
        handle(nodes.get(host), new Event.StopRequested());
    }

    public boolean quiescent(HostId host) {
        return nodes.get(host).duties.stream().allMatch(StateMachine::quiescent);
    }

    /** Lets a caller ask a daemon; the reply is found under the id. */
    public RequestId ask(HostId host, CallerCommand command) {
        RequestId id = new RequestId(host, 1, ++lastRequest);
        Caller caller = new Caller(new TeamPath("/callers"), "caller", Caller.Scope.CALLER);
        handle(nodes.get(host), new Event.CommandReceived(id, caller, command));
        return id;
    }

    /** Lets a caller hang up. */
    public void leave(HostId host, RequestId request) {
        handle(nodes.get(host), new Event.CallerDisconnected(request));
    }

    /** Returns how many messages the daemons have sent to one another. */
    public int peerMessages() {
        return peerMessages;
    }

    public Optional<CallerReply> reply(RequestId request) {
        return Optional.ofNullable(replies.get(request));
    }

    public List<String> stateChanges() {
        return stateChanges;
    }

    /** Does something on a daemon's behalf, outside an event. */
    public void act(HostId host, BiAction action) {
        Node node = nodes.get(host);
        if (node != null) {
            Effects out = new Effects();
            action.act(nowMs, out);
            Deque<Event> raised = new ArrayDeque<>();
            carryOut(node, out, raised);
            raised.forEach(event -> handle(node, event));
        }
    }

    /** Appends to the store as somebody else would, and wakes who waits for it. */
    public void append(StoreRequest.Append append) {
        carryOut(append);
    }

    /** Schedules something for later. */
    public void later(long delayMs, Runnable action) {
        tasks.add(new Task(nowMs + delayMs, ++lastTask, action));
    }

    /** Lets the time pass. */
    public void run(long forMs) {
        long untilMs = nowMs + forMs;
        while (!tasks.isEmpty() && tasks.peek().atMs <= untilMs) {
            Task task = tasks.remove();
            nowMs = Math.max(nowMs, task.atMs);
            task.action.run();
        }
        nowMs = untilMs;
    }

    private void handle(Node node, Event event) {
        if (node == null || node.dead) {
            return;
        }
        if (node.frozen) {
            node.held.add(() -> handle(node, event));
            return;
        }
        Deque<Event> raised = new ArrayDeque<>(List.of(event));
        while (!raised.isEmpty()) {
            Effects out = new Effects();
            Event next = raised.remove();
            node.duties.forEach(duty -> duty.on(next, nowMs, out));
            carryOut(node, out, raised);
        }
    }

    private void carryOut(Node node, Effects out, Deque<Event> raised) {
        for (Effect effect : out.list()) {
            if (effect instanceof Effect.Raise raise) {
                raised.add(raise.event());
            } else if (effect instanceof Effect.CallStore call) {
                callStore(node, call);
            } else if (effect instanceof Effect.Schedule timer) {
                schedule(node, timer);
            } else if (effect instanceof Effect.Unschedule timer) {
                node.timers.remove(timer.key());
            } else if (effect instanceof Effect.Send send) {
                peerMessages++;
                later(
                        PEER_MS,
                        () -> handle(nodes.get(send.to()), new Event.PeerMessageReceived(node.host, send.message())));
            } else if (effect instanceof Effect.Reply reply) {
                replies.put(reply.request(), reply.reply());
            } else if (effect instanceof Effect.StateChanged change) {
                stateChanges.add(node.host + ": " + change.text());
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
            case REFUSED -> later(STORE_MS, () -> answer(node, call, new StoreResponse.NotDone("status 503")));
            case REQUEST_LOST -> loseAnswer(node, call);
            case ANSWER_LOST -> {
                later(STORE_MS, () -> carryOut(call.request()));
                loseAnswer(node, call);
            }
            case SLOW -> later(STORE_MS, () -> carryOut(call.request())
                    .ifPresent(answer -> later(SLOW_MS, () -> answer(node, call, answer))));
            case DONE_LATE -> {
                later(3_000, () -> carryOut(call.request()));
                loseAnswer(node, call);
            }
            default -> later(STORE_MS, () -> answerNow(node, call));
        }
    }

    private void loseAnswer(Node node, Effect.CallStore call) {
        later(1_000, () -> answer(node, call, new StoreResponse.Unknown("no answer")));
    }

    private Optional<StoreResponse> carryOut(StoreRequest request) {
        Optional<StoreResponse> answer = store.answer(request, nowMs);
        if (request instanceof StoreRequest.Append) {
            wakeReads();
        }
        return answer;
    }

    private void answerNow(Node node, Effect.CallStore call) {
        Optional<StoreResponse> answer = carryOut(call.request());
        if (answer.isPresent()) {
            answer(node, call, answer.get());
            return;
        }
        StoreRequest.Read read = (StoreRequest.Read) call.request();
        WaitingRead waiting = new WaitingRead(node, call);
        waitingReads.add(waiting);
        later(read.waitMs(), () -> {
            if (waitingReads.remove(waiting)) {
                answer(node, call, store.nothing(read));
            }
        });
    }

    private void wakeReads() {
        for (WaitingRead read : List.copyOf(waitingReads)) {
            store.answer(read.call.request(), nowMs).ifPresent(answer -> {
                waitingReads.remove(read);
                answer(read.node, read.call, answer);
            });
        }
    }

    private void answer(Node node, Effect.CallStore call, StoreResponse answer) {
        handle(node, new Event.StoreResponded(call.number(), answer));
    }

    /** Something that is done on a daemon's behalf. */
    public interface BiAction {
        void act(long nowMs, Effects out);
    }

    private static final class Node {

        private final HostId host;
        private final List<StateMachine> duties;
        private final Map<TimerKey, Long> timers = new HashMap<>();
        private final List<Runnable> held = new ArrayList<>();
        private boolean dead;
        private boolean frozen;

        Node(HostId host, List<StateMachine> duties) {
            this.host = host;
            this.duties = duties;
        }
    }

    private record WaitingRead(Node node, Effect.CallStore call) {}

    private record Task(long atMs, long number, Runnable action) implements Comparable<Task> {

        @Override
        public int compareTo(Task other) {
            return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(number, other.number);
        }
    }
}
