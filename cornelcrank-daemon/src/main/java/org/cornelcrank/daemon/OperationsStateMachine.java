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
 * Answers operators' questions for dumps and explanations, here and for other daemons.
 *
 * <p>Invariant: each question is answered once, at the latest after {@link #GATHER_TIMEOUT_MS}. Not thread-safe: confined
 * to the daemon's event loop.
 */
public final class OperationsStateMachine implements StateMachine {

    static final long GATHER_TIMEOUT_MS = 1_000;

    private static final String NAME = "operations";

    private final MembershipView membership;
    private final DecisionJournal journal;
    private final Supplier<List<StateMachine>> duties;
    private final Map<Long, Gathering> gatherings = new LinkedHashMap<>();
    private final Map<Long, RequestId> remoteDumps = new LinkedHashMap<>();
    private long lastNumber;

    /**
     * Creates the duty.
     *
     * @param membership shows whom to ask
     * @param journal holds this daemon's own decisions
     * @param duties gives all duties of the daemon, for dumps
     */
    public OperationsStateMachine(
            MembershipView membership, DecisionJournal journal, Supplier<List<StateMachine>> duties) {
        this.membership = Objects.requireNonNull(membership, "membership must not be null");
        this.journal = Objects.requireNonNull(journal, "journal must not be null");
        this.duties = Objects.requireNonNull(duties, "duties must not be null");
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        if (event instanceof Event.CommandReceived arrived) {
            commandArrived(arrived, nowMs, out);
        } else if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof OperationsMessage message) {
            messageReceived(received.from(), message, nowMs, out);
        } else if (event instanceof Event.TimerDue due
                && due.key().stateMachine().equals(NAME)) {
            gatheringTimedOut(Long.parseLong(due.key().name()), out);
        }
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("explained-subjects", journal.size());
        writer.field("open-questions", gatherings.size() + remoteDumps.size());
    }

    private void commandArrived(Event.CommandReceived arrived, long nowMs, Effects out) {
        if (arrived.command() instanceof DumpState dump) {
            dumpAsked(arrived.request(), dump, nowMs, out);
        } else if (arrived.command() instanceof ExplainSubject explain) {
            explainAsked(arrived.request(), explain.subject(), nowMs, out);
        }
    }

    private void dumpAsked(RequestId request, DumpState command, long nowMs, Effects out) {
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
        out.schedule(timer(lastNumber), nowMs + GATHER_TIMEOUT_MS);
    }

    private void explainAsked(RequestId request, Subject subject, long nowMs, Effects out) {
        lastNumber++;
        Gathering gathering = new Gathering(request, subject);
        gathering.add(membership.self().host(), journal.of(subject));
        for (Member member : membership.members()) {
            if (!member.host().equals(membership.self().host())) {
                gathering.waitFor(member.host());
                out.send(member.host(), new OperationsMessage.ExplainRequest(lastNumber, subject));
            }
        }
        gatherings.put(lastNumber, gathering);
        out.schedule(timer(lastNumber), nowMs + GATHER_TIMEOUT_MS);
        finishIfWhole(lastNumber, out);
    }

    private void messageReceived(HostId from, OperationsMessage message, long nowMs, Effects out) {
        if (message instanceof OperationsMessage.ExplainRequest asked) {
            out.send(from, new OperationsMessage.ExplainReply(asked.number(), journal.of(asked.subject())));
        } else if (message instanceof OperationsMessage.DumpRequest asked) {
            out.send(from, new OperationsMessage.DumpReply(asked.number(), dumpOf(asked.section(), nowMs)));
        } else if (message instanceof OperationsMessage.ExplainReply answered) {
            Gathering gathering = gatherings.get(answered.number());
            if (gathering != null && gathering.answered(from)) {
                gathering.add(from, answered.decisions());
                finishIfWhole(answered.number(), out);
            }
        } else if (message instanceof OperationsMessage.DumpReply answered) {
            RequestId request = remoteDumps.remove(answered.number());
            if (request != null) {
                out.reply(request, answered.dump());
            }
        }
    }

    private void gatheringTimedOut(long number, Effects out) {
        RequestId dumpRequest = remoteDumps.remove(number);
        if (dumpRequest != null) {
            out.reply(dumpRequest, Refusal.notRun(RefusalCode.NOT_FOUND, "the host's daemon does not answer"));
        }
        Gathering gathering = gatherings.remove(number);
        if (gathering != null) {
            out.reply(gathering.request, gathering.explanation());
        }
    }

    private void finishIfWhole(long number, Effects out) {
        Gathering gathering = gatherings.get(number);
        if (gathering.whole()) {
            gatherings.remove(number);
            out.add(new Effect.Unschedule(timer(number)));
            out.reply(gathering.request, gathering.explanation());
        }
    }

    private StateDump dumpOf(String section, long nowMs) {
        List<StateDump.Section> sections = new ArrayList<>();
        for (StateMachine duty : duties.get()) {
            if (section.isEmpty() || section.equals(duty.name())) {
                SectionWriter writer = new SectionWriter(duty.name());
                duty.dump(writer, nowMs);
                sections.add(writer.section());
            }
        }
        return new StateDump(membership.self().host(), nowMs, sections);
    }

    private static TimerKey timer(long number) {
        return new TimerKey(NAME, Long.toString(number));
    }

    /** One explanation that is being gathered. */
    private static final class Gathering {

        private final RequestId request;
        private final Subject subject;
        private final Set<HostId> waiting = new TreeSet<>();
        private final List<Explanation.Line> lines = new ArrayList<>();

        Gathering(RequestId request, Subject subject) {
            this.request = request;
            this.subject = subject;
        }

        void waitFor(HostId host) {
            waiting.add(host);
        }

        boolean answered(HostId host) {
            return waiting.remove(host);
        }

        void add(HostId host, List<DecisionJournal.Decision> decisions) {
            for (DecisionJournal.Decision decision : decisions) {
                lines.add(new Explanation.Line(decision.atMs(), host, decision.decision(), decision.reason()));
            }
        }

        boolean whole() {
            return waiting.isEmpty();
        }

        Explanation explanation() {
            lines.sort(Comparator.comparingLong(Explanation.Line::atMs));
            return new Explanation(subject, lines, List.copyOf(waiting));
        }
    }
}
