package org.cornelcrank.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.LongPredicate;

/**
 * Brings callers' commands to the owners of partitions, and each answer to the request that it belongs to.
 *
 * <p>A leg is sent to the likely owner, and again when the owner changes, declines it or stays silent. So a command must
 * be idempotent at its owner under its request and leg. Invariants: each leg ends exactly once; an answer counts only
 * for the request, leg and send, and from the host, that it was asked for; a leg that ends without an answer is refused
 * as not run only if no send of it may have had an effect. Not thread-safe: confined to the daemon's event loop.
 */
public final class ForwardedCommands {

    private static final long RETRY_AFTER_MS = 1_000;

    private final TimerKey timer;
    private final ForwardingSettings settings;
    private final Function<PartitionId, Optional<HostId>> likelyOwner;
    private final LongPredicate logAnswers;
    private final Carrier carrier;
    private final SortedMap<String, Leg> legs = new TreeMap<>();
    private boolean timerSet;

    /**
     * Makes an empty table.
     *
     * @param timer the timer on which the owning duty calls {@link #check}
     * @param logAnswers says at a time in ms whether the log has answered this daemon lately
     */
    public ForwardedCommands(
            TimerKey timer,
            ForwardingSettings settings,
            Function<PartitionId, Optional<HostId>> likelyOwner,
            LongPredicate logAnswers,
            Carrier carrier) {
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.likelyOwner = Objects.requireNonNull(likelyOwner, "likelyOwner must not be null");
        this.logAnswers = Objects.requireNonNull(logAnswers, "logAnswers must not be null");
        this.carrier = Objects.requireNonNull(carrier, "carrier must not be null");
    }

    /** Begins a leg; the listener is told of its end exactly once, possibly before this method returns. */
    public void begin(ForwardedCommand command, ReplyListener listener, long nowMs, Effects out) {
        String key = key(command.request(), command.leg());
        if (legs.containsKey(key)) {
            throw new IllegalArgumentException("leg must be new but " + key + " is under way");
        }
        legs.put(key, new Leg(command, listener));
        setTimer(nowMs, out);
        advance(key, nowMs, out);
    }

    /**
     * Takes an owner's answer; one that was not asked for of this host is passed over.
     *
     * <p>A refusal as not run waits for the answer to a later send to the same host, which repeats it.
     */
    public void answered(
            HostId from, RequestId request, int leg, int send, CallerReply reply, long nowMs, Effects out) {
        Leg found = legs.get(key(request, leg));
        if (found == null || !from.equals(found.sends.get(send))) {
            return;
        }
        found.settleSendsTo(from, send);
        boolean heldElsewhere = found.holder != null && !found.holder.equals(from);
        if (found.awaitsAnswerFrom(from) && isNotRun(reply) || heldElsewhere && reply instanceof Refusal) {
            return;
        }
        end(found, found.withTrueVerdict(reply), nowMs, out);
    }

    /**
     * Takes the word of a host that it does not own the partition.
     *
     * <p>{@code untouched} says that nothing of this leg was written or run there and nothing will be.
     */
    public void declined(
            HostId from, RequestId request, int leg, int send, boolean untouched, long nowMs, Effects out) {
        Leg found = legs.get(key(request, leg));
        if (found == null || !from.equals(found.sends.get(send))) {
            return;
        }
        if (untouched) {
            found.sends.remove(send);
        }
        if (found.sends.isEmpty() && !logAnswers.test(nowMs)) {
            end(found, withoutOwner(found.command.partition()), nowMs, out);
            return;
        }
        if (send == found.lastSend) {
            found.declined = true;
        }
    }

    /**
     * Takes the word of a host that it no longer owns the partition, but carries the command to its end all the same.
     *
     * <p>The leg then waits for this host, and is not sent to the next owner, who could only refuse it.
     */
    public void held(HostId from, RequestId request, int leg, int send) {
        Leg found = legs.get(key(request, leg));
        if (found != null && from.equals(found.sends.get(send))) {
            found.holder = from;
        }
    }

    /** Sends again what needs it, and ends legs that are past their deadlines; called when the timer is due. */
    public void check(long nowMs, Effects out) {
        timerSet = false;
        for (String key : List.copyOf(legs.keySet())) {
            advance(key, nowMs, out);
        }
        if (!legs.isEmpty()) {
            setTimer(nowMs, out);
        }
    }

    /** Returns how many legs are under way. */
    public int size() {
        return legs.size();
    }

    /** Returns the commands under way, ordered by request. */
    public List<ForwardedCommand> underWay() {
        List<ForwardedCommand> commands = new ArrayList<>();
        legs.values().forEach(leg -> commands.add(leg.command));
        return commands;
    }

    /** While the log is out nobody can become an owner, so that waiting for one has no prospect. */
    private static Refusal withoutOwner(PartitionId partition) {
        String message = "the log does not answer, and no daemon owns partition " + partition;
        return Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS);
    }

    private static boolean isNotRun(CallerReply reply) {
        return reply instanceof Refusal refusal && refusal.verdict() instanceof Verdict.NotRun;
    }

    private void advance(String key, long nowMs, Effects out) {
        Leg leg = legs.get(key);
        if (leg == null) {
            return;
        }
        if (nowMs >= leg.command.deadlineAtMs()) {
            end(leg, leg.refusalAtDeadline(), nowMs, out);
            return;
        }
        Optional<HostId> owner = likelyOwner.apply(leg.command.partition());
        if (owner.isPresent() && leg.wantsSend(owner.get(), nowMs, settings)) {
            send(leg, owner.get(), nowMs, out);
        }
    }

    private void send(Leg leg, HostId owner, long nowMs, Effects out) {
        leg.lastSend++;
        leg.lastOwner = owner;
        leg.lastSentAtMs = nowMs;
        leg.declined = false;
        leg.sends.put(leg.lastSend, owner);
        carrier.carry(owner, leg.numbered(), nowMs, out);
    }

    private void end(Leg leg, CallerReply reply, long nowMs, Effects out) {
        legs.remove(key(leg.command.request(), leg.command.leg()));
        leg.listener.replied(reply, nowMs, out);
    }

    private void setTimer(long nowMs, Effects out) {
        if (!timerSet) {
            timerSet = true;
            out.schedule(timer, nowMs + settings.checkIntervalMs());
        }
    }

    private static String key(RequestId request, int leg) {
        return request + "#" + leg;
    }

    /** Carries a command to a host, which may be this one. */
    public interface Carrier {
        void carry(HostId owner, ForwardedCommand command, long nowMs, Effects out);
    }

    /** Is told how a leg ended. */
    public interface ReplyListener {
        void replied(CallerReply reply, long nowMs, Effects out);
    }

    /** One leg under way; {@code sends} holds the sends that may have had an effect. Not thread-safe. */
    private static final class Leg {

        private final ForwardedCommand command;
        private final ReplyListener listener;
        private final SortedMap<Integer, HostId> sends = new TreeMap<>();
        private int lastSend;
        private HostId lastOwner;
        private long lastSentAtMs;
        private boolean declined;
        private HostId holder;

        Leg(ForwardedCommand command, ReplyListener listener) {
            this.command = command;
            this.listener = listener;
        }

        boolean wantsSend(HostId owner, long nowMs, ForwardingSettings settings) {
            if (holder != null) {
                return false;
            }
            return lastSend == 0
                    || !owner.equals(lastOwner)
                    || declined
                    || nowMs - lastSentAtMs >= settings.resendAfterMs();
        }

        ForwardedCommand numbered() {
            return new ForwardedCommand(
                    command.request(),
                    command.leg(),
                    lastSend,
                    command.caller(),
                    command.partition(),
                    command.command(),
                    command.deadlineAtMs());
        }

        /** An answer settles what was sent to the same host up to then, which handles a leg's sends as one. */
        void settleSendsTo(HostId host, int send) {
            sends.entrySet()
                    .removeIf(sent -> sent.getKey() <= send && sent.getValue().equals(host));
        }

        boolean awaitsAnswerFrom(HostId host) {
            return sends.containsValue(host);
        }

        CallerReply withTrueVerdict(CallerReply reply) {
            if (!(reply instanceof Refusal refusal) || sends.isEmpty()) {
                return reply;
            }
            Verdict verdict = refusal.verdict().and(Verdict.MAY_HAVE_RUN);
            return new Refusal(verdict, refusal.code(), refusal.message(), refusal.retryAfterMs());
        }

        Refusal refusalAtDeadline() {
            String message = lastSend == 0
                    ? "no daemon is known to own partition " + command.partition()
                    : "the owner of partition " + command.partition() + " did not answer in time";
            RefusalCode code = lastSend == 0 ? RefusalCode.NOT_READY : RefusalCode.DEADLINE_EXCEEDED;
            Verdict verdict = sends.isEmpty() ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            return new Refusal(verdict, code, message, RETRY_AFTER_MS);
        }
    }
}
