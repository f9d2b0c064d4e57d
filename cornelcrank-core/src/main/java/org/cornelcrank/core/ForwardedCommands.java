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
 * Forwards callers' commands to the owners of partitions and matches the replies to their requests.
 *
 * <p>A leg is sent to the likely owner, and sent again if the owner changes, declines it or does not respond. The owner
 * must therefore treat a command as idempotent per request and leg.
 *
 * <p>Invariants: each leg ends exactly once; a reply is accepted only if its request, leg, send number and host match a
 * transmission; a leg that ends without a reply is refused as not run only if none of its transmissions can have had an
 * effect. Not thread-safe: confined to the daemon's event loop.
 */
public final class ForwardedCommands {

    private static final long RETRY_AFTER_MS = 1_000;

    private final TimerKey timer;
    private final ForwardingSettings settings;
    private final Function<PartitionId, Optional<HostId>> likelyOwner;
    private final LongPredicate logAvailable;
    private final CommandSender sender;
    private final SortedMap<String, Leg> legs = new TreeMap<>();
    private boolean timerSet;

    /**
     * Creates an empty table.
     *
     * @param timer the timer on which the owning state machine calls {@link #check}
     * @param logAvailable tests, for a time in ms, whether the log has recently responded to this daemon
     */
    public ForwardedCommands(
            TimerKey timer,
            ForwardingSettings settings,
            Function<PartitionId, Optional<HostId>> likelyOwner,
            LongPredicate logAvailable,
            CommandSender sender) {
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.likelyOwner = Objects.requireNonNull(likelyOwner, "likelyOwner must not be null");
        this.logAvailable = Objects.requireNonNull(logAvailable, "logAvailable must not be null");
        this.sender = Objects.requireNonNull(sender, "sender must not be null");
    }

    /** Starts a leg; the listener is notified of its end exactly once, possibly before this method returns. */
    public void begin(ForwardedCommand command, ReplyListener listener, long nowMs, Effects out) {
        String key = key(command.request(), command.leg());
        if (legs.containsKey(key)) {
            throw new IllegalArgumentException("leg must be new but " + key + " is in progress");
        }
        legs.put(key, new Leg(command, listener));
        setTimer(nowMs, out);
        advance(key, nowMs, out);
    }

    /**
     * Handles an owner's reply, and ignores one that does not match a transmission to this host.
     *
     * <p>A not-run refusal does not end the leg while a later transmission to the same host is outstanding, because the
     * host repeats the refusal in reply to that one.
     */
    public void replied(
            HostId from, RequestId request, int leg, int sendNumber, CallerReply reply, long nowMs, Effects out) {
        Leg found = legs.get(key(request, leg));
        if (found == null || !from.equals(found.sends.get(sendNumber))) {
            return;
        }
        found.settleSendsTo(from, sendNumber);
        boolean heldElsewhere = found.holder != null && !found.holder.equals(from);
        if (found.awaitsReplyFrom(from) && isNotRun(reply) || heldElsewhere && reply instanceof Refusal) {
            return;
        }
        end(found, found.withCombinedVerdict(reply), nowMs, out);
    }

    /**
     * Handles a host's notification that it does not own the partition.
     *
     * <p>{@code untouched} indicates that nothing of this leg has been or will be written or run on that host.
     */
    public void declined(
            HostId from, RequestId request, int leg, int sendNumber, boolean untouched, long nowMs, Effects out) {
        Leg found = legs.get(key(request, leg));
        if (found == null || !from.equals(found.sends.get(sendNumber))) {
            return;
        }
        if (untouched) {
            found.sends.remove(sendNumber);
        }
        if (found.sends.isEmpty() && !logAvailable.test(nowMs)) {
            end(found, noOwnerRefusal(found.command.partition()), nowMs, out);
            return;
        }
        if (sendNumber == found.lastSend) {
            found.declined = true;
        }
    }

    /**
     * Handles a host's notification that it no longer owns the partition but still completes the command.
     *
     * <p>The leg then waits for this host. It is not sent to the new owner, which could only refuse it.
     */
    public void held(HostId from, RequestId request, int leg, int sendNumber) {
        Leg found = legs.get(key(request, leg));
        if (found != null && from.equals(found.sends.get(sendNumber))) {
            found.holder = from;
        }
    }

    /** Resends legs where necessary and ends those past their deadlines; called when the timer expires. */
    public void check(long nowMs, Effects out) {
        timerSet = false;
        for (String key : List.copyOf(legs.keySet())) {
            advance(key, nowMs, out);
        }
        if (!legs.isEmpty()) {
            setTimer(nowMs, out);
        }
    }

    /** Returns the number of legs in progress. */
    public int size() {
        return legs.size();
    }

    /** Returns the commands in progress, ordered by request. */
    public List<ForwardedCommand> inProgress() {
        List<ForwardedCommand> commands = new ArrayList<>();
        legs.values().forEach(leg -> commands.add(leg.command));
        return commands;
    }

    /** No daemon can become an owner while the log is unavailable, so waiting for one is pointless. */
    private static Refusal noOwnerRefusal(PartitionId partition) {
        String message = "the log does not respond, and no daemon owns partition " + partition;
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
        if (owner.isPresent() && leg.needsSend(owner.get(), nowMs, settings)) {
            send(leg, owner.get(), nowMs, out);
        }
    }

    private void send(Leg leg, HostId owner, long nowMs, Effects out) {
        leg.lastSend++;
        leg.lastOwner = owner;
        leg.lastSentAtMs = nowMs;
        leg.declined = false;
        leg.sends.put(leg.lastSend, owner);
        sender.send(owner, leg.withSendNumber(), nowMs, out);
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

    /** Sends a command to a host, which may be this one. */
    public interface CommandSender {
        void send(HostId owner, ForwardedCommand command, long nowMs, Effects out);
    }

    /** Is notified of the reply that ends a leg. */
    public interface ReplyListener {
        void replied(CallerReply reply, long nowMs, Effects out);
    }

    /** One leg in progress; {@code sends} holds the transmissions that may have had an effect. Not thread-safe. */
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

        boolean needsSend(HostId owner, long nowMs, ForwardingSettings settings) {
            if (holder != null) {
                return false;
            }
            return lastSend == 0
                    || !owner.equals(lastOwner)
                    || declined
                    || nowMs - lastSentAtMs >= settings.resendAfterMs();
        }

        ForwardedCommand withSendNumber() {
            return new ForwardedCommand(
                    command.request(),
                    command.leg(),
                    lastSend,
                    command.caller(),
                    command.partition(),
                    command.command(),
                    command.deadlineAtMs());
        }

        /** A reply settles this and all earlier transmissions to the same host, which handles them as one command. */
        void settleSendsTo(HostId host, int sendNumber) {
            sends.entrySet()
                    .removeIf(sent ->
                            sent.getKey() <= sendNumber && sent.getValue().equals(host));
        }

        boolean awaitsReplyFrom(HostId host) {
            return sends.containsValue(host);
        }

        CallerReply withCombinedVerdict(CallerReply reply) {
            if (!(reply instanceof Refusal refusal) || sends.isEmpty()) {
                return reply;
            }
            Verdict verdict = refusal.verdict().and(Verdict.MAY_HAVE_RUN);
            return new Refusal(verdict, refusal.code(), refusal.message(), refusal.retryAfterMs());
        }

        Refusal refusalAtDeadline() {
            String message = lastSend == 0
                    ? "no daemon is known to own partition " + command.partition()
                    : "the owner of partition " + command.partition() + " did not reply in time";
            RefusalCode code = lastSend == 0 ? RefusalCode.NOT_READY : RefusalCode.DEADLINE_EXCEEDED;
            Verdict verdict = sends.isEmpty() ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            return new Refusal(verdict, code, message, RETRY_AFTER_MS);
        }
    }
}
