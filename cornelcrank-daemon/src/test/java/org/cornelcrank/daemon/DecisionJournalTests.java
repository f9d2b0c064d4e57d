package org.cornelcrank.daemon;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Subject;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DecisionJournalTests {

    @Test
    void leastRecentlyUsedSubjectIsEvictedFirst() {
        DecisionJournal journal = new DecisionJournal(2, 8);
        journal.record(decision("a", 1));
        journal.record(decision("b", 2));
        journal.record(decision("a", 3));
        journal.record(decision("c", 4));
        assertThat(journal.of(subject("a"))).hasSize(2);
        assertThat(journal.of(subject("b"))).isEmpty();
        assertThat(journal.of(subject("c"))).hasSize(1);
    }

    @Test
    void latestDecisionsOfASubjectAreKept() {
        DecisionJournal journal = new DecisionJournal(2, 3);
        for (int atMs = 1; atMs <= 5; atMs++) {
            journal.record(decision("a", atMs));
        }
        assertThat(journal.of(subject("a")))
                .extracting(DecisionJournal.Decision::atMs)
                .containsExactly(3L, 4L, 5L);
    }

    private static Effect.Explain decision(String id, long atMs) {
        return new Effect.Explain(subject(id), atMs, "decision", "reason");
    }

    private static Subject subject(String id) {
        return new Subject(Subject.Kind.REQUEST, id);
    }
}
