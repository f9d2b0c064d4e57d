package org.cornelcrank.daemon;

import java.util.List;

import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.Subject;

/** Messages by which daemons gather dumps and explanations for operators. */
sealed interface OperationsMessage extends PeerMessage {

    /** Asks for decisions about a subject. */
    record ExplainRequest(long number, Subject subject) implements OperationsMessage {}

    /** Gives the decisions about a subject; empty if none is known. */
    record ExplainReply(long number, List<DecisionJournal.Decision> decisions) implements OperationsMessage {}

    /** Asks for the receiver's state. */
    record DumpRequest(long number, String section) implements OperationsMessage {}

    /** Gives the sender's state. */
    record DumpReply(long number, StateDump dump) implements OperationsMessage {}
}
