package org.cornelcrank.daemon;

import java.util.List;

import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.Subject;

/** Messages by which daemons request state dumps and explanations from each other on behalf of operators. */
sealed interface OperationsMessage extends PeerMessage {

    /** Requests the receiver's decisions about a subject. */
    record ExplainRequest(long number, Subject subject) implements OperationsMessage {}

    /** Returns the sender's decisions about a subject; empty if it holds none. */
    record ExplainReply(long number, List<DecisionJournal.Decision> decisions) implements OperationsMessage {}

    /** Requests the receiver's state; an empty section means all sections. */
    record DumpRequest(long number, String section) implements OperationsMessage {}

    /** Returns the sender's state. */
    record DumpReply(long number, StateDump dump) implements OperationsMessage {}
}
