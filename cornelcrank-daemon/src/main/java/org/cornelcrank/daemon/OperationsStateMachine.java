package org.cornelcrank.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

import org.cornelcrank.core.CorrelationId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TimerKey;

/**
 * Serves state dumps and explanations to operators of this daemon and to other daemons.
 *
 * <p>Invariant: each command gets exactly one reply, after {@link #REPLY_TIMEOUT_MS} at the latest. Not thread-safe:
 * confined to the daemon's event loop.
 */
public final class OperationsStateMachine implements StateMachine {

    static final long REPLY_TIMEOUT_MS = 1_000;

    private static final String NAME = "operations";

    private final MembershipView membership;
    private final DecisionJournal journal;
    private final Supplier<List<StateMachine>> stateMachines;
    private final Map<Long, PendingExplanation> pendingExplanations = new LinkedHashMap<>();
    private final Map<Long, RequestId> remoteDumps = new LinkedHashMap<>();
    private long lastNumber;

    /**
     * Creates the state machine.
     *
     * @param membership the daemons to query
     * @param journal holds this daemon's own decisions
     * @param stateMachines supplies all state machines of the daemon, for dumps
     */
    public OperationsStateMachine(
            MembershipView membership, DecisionJournal journal, Supplier<List<StateMachine>> stateMachines) {
        this.membership = Objects.requireNonNull(membership, "membership must not be null");
        this.journal = Objects.requireNonNull(journal, "journal must not be null");
        this.stateMachines = Objects.requireNonNull(stateMachines, "stateMachines must not be null");
        this.lastNumber = CorrelationId.numbersAfter(membership.self().incarnation());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        if (event instanceof Event.CommandReceived received) {
            commandReceived(received, nowMs, out);
        } else if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof OperationsMessage message) {
            messageReceived(received.from(), message, nowMs, out);
        } else if (event instanceof Event.TimerDue due
                && due.key().stateMachine().equals(NAME)) {
            requestTimedOut(Long.parseLong(due.key().name()), out);
        }
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("explained-subjects", journal.size());
        writer.field("open-questions", pendingExplanations.size() + remoteDumps.size());
    }

    private void commandReceived(Event.CommandReceived received, long nowMs, Effects out) {
        if (received.command() instanceof DumpState dump) {
            dumpRequested(received.request(), dump, nowMs, out);
        } else if (received.command() instanceof ExplainSubject explain) {
            explanationRequested(received.request(), explain.subject(), nowMs, out);
        }
    }

    private void dumpRequested(RequestId request, DumpState command, long nowMs, Effects out) {
        HostId host = command.host().orElse(membership.self().host());
        String section = command.section().orElse("");
        if (host.equals(membership.self().host())) {
            out.reply(request, dumpOf(section, nowMs));
            return;
        }
        if (membership.find(host).isEmpty()) {
            out.reply(request, Refusal.notRun(RefusalCode.NOT_FOUND, "no daemon is known on host " + host));
            return;
        }
        lastNumber++;
        remoteDumps.put(lastNumber, request);
        out.send(host, new OperationsMessage.DumpRequest(lastNumber, section));
        out.schedule(timer(lastNumber), nowMs + REPLY_TIMEOUT_MS);
    }

    private void explanationRequested(RequestId request, Subject subject, long nowMs, Effects out) {
        lastNumber++;
        PendingExplanation pending = new PendingExplanation(request, subject);
        pending.add(membership.self().host(), journal.of(subject));
        for (Member member : membership.members()) {
            if (!member.host().equals(membership.self().host())) {
                pending.waitFor(member.host());
                out.send(member.host(), new OperationsMessage.ExplainRequest(lastNumber, subject));
            }
        }
        pendingExplanations.put(lastNumber, pending);
        out.schedule(timer(lastNumber), nowMs + REPLY_TIMEOUT_MS);
        replyIfComplete(lastNumber, out);
    }

    private void messageReceived(HostId from, OperationsMessage message, long nowMs, Effects out) {
        if (message instanceof OperationsMessage.ExplainRequest request) {
            out.send(from, new OperationsMessage.ExplainReply(request.number(), journal.of(request.subject())));
        } else if (message instanceof OperationsMessage.DumpRequest request) {
            out.send(from, new OperationsMessage.DumpReply(request.number(), dumpOf(request.section(), nowMs)));
        } else if (message instanceof OperationsMessage.ExplainReply reply) {
            PendingExplanation pending = pendingExplanations.get(reply.number());
            if (pending != null && pending.replied(from)) {
                pending.add(from, reply.decisions());
                replyIfComplete(reply.number(), out);
            }
        } else if (message instanceof OperationsMessage.DumpReply reply) {
            RequestId request = remoteDumps.remove(reply.number());
            if (request != null) {
                out.reply(request, reply.dump());
            }
        }
    }

    private void requestTimedOut(long number, Effects out) {
        RequestId dumpRequest = remoteDumps.remove(number);
        if (dumpRequest != null) {
            out.reply(dumpRequest, Refusal.notRun(RefusalCode.NOT_FOUND, "the host's daemon did not reply in time"));
        }
        PendingExplanation pending = pendingExplanations.remove(number);
        if (pending != null) {
            out.reply(pending.request, pending.explanation());
        }
    }

    private void replyIfComplete(long number, Effects out) {
        PendingExplanation pending = pendingExplanations.get(number);
        if (pending.complete()) {
            pendingExplanations.remove(number);
            out.add(new Effect.Unschedule(timer(number)));
            out.reply(pending.request, pending.explanation());
        }
    }

    private StateDump dumpOf(String section, long nowMs) {
        List<StateDump.Section> sections = new ArrayList<>();
        for (StateMachine stateMachine : stateMachines.get()) {
            if (section.isEmpty() || section.equals(stateMachine.name())) {
                SectionWriter writer = new SectionWriter(stateMachine.name());
                stateMachine.dump(writer, nowMs);
                sections.add(writer.section());
            }
        }
        return new StateDump(membership.self().host(), nowMs, sections);
    }

    private static TimerKey timer(long number) {
        return new TimerKey(NAME, Long.toString(number));
    }

    /** An explanation whose replies are still being collected. */
    private static final class PendingExplanation {

        private final RequestId request;
        private final Subject subject;
        private final Set<HostId> waiting = new TreeSet<>();
        private final List<Explanation.Line> lines = new ArrayList<>();

        PendingExplanation(RequestId request, Subject subject) {
            this.request = request;
            this.subject = subject;
        }

        void waitFor(HostId host) {
            waiting.add(host);
        }

        boolean replied(HostId host) {
            return waiting.remove(host);
        }

        void add(HostId host, List<DecisionJournal.Decision> decisions) {
            for (DecisionJournal.Decision decision : decisions) {
                lines.add(new Explanation.Line(decision.atMs(), host, decision.decision(), decision.reason()));
            }
        }

        boolean complete() {
            return waiting.isEmpty();
        }

        Explanation explanation() {
            lines.sort(Comparator.comparingLong(Explanation.Line::atMs));
            return new Explanation(subject, lines, List.copyOf(waiting));
        }
    }
}
