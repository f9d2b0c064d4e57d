package org.cornelcrank.daemon;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Subject;

/**
 * Holds the latest decisions about each subject for explanations.
 *
 * <p>Invariant: holds at most {@code maxSubjects} subjects with at most {@code maxPerSubject} decisions each; the least
 * recently used subject is evicted first. Not thread-safe: confined to the daemon's event loop.
 */
public final class DecisionJournal {

    private final int maxPerSubject;
    private final Map<Subject, Deque<Decision>> decisions;
    private final Consumer<Effect.Explain> listener;

    /**
     * Creates an empty journal.
     *
     * @param maxSubjects the maximum number of subjects, at least one
     * @param maxPerSubject the maximum number of decisions per subject, at least one
     */
    public DecisionJournal(int maxSubjects, int maxPerSubject) {
        this(maxSubjects, maxPerSubject, explain -> {});
    }

    /**
     * Creates an empty journal that notifies a listener of each decision.
     *
     * @param maxSubjects the maximum number of subjects, at least one
     * @param maxPerSubject the maximum number of decisions per subject, at least one
     * @param listener is notified of each decision when it is recorded
     */
    public DecisionJournal(int maxSubjects, int maxPerSubject, Consumer<Effect.Explain> listener) {
        if (maxSubjects < 1 || maxPerSubject < 1) {
            throw new IllegalArgumentException("maxSubjects and maxPerSubject must be at least 1 but were "
                    + maxSubjects + " and " + maxPerSubject);
        }
        this.listener = Objects.requireNonNull(listener, "listener must not be null");
        this.maxPerSubject = maxPerSubject;
        this.decisions = new LeastRecentlyUsedMap(maxSubjects);
    }

    void record(Effect.Explain explain) {
        listener.accept(explain);
        Deque<Decision> kept = decisions.computeIfAbsent(explain.subject(), subject -> new ArrayDeque<>(2));
        if (kept.size() == maxPerSubject) {
            kept.removeFirst();
        }
        kept.addLast(new Decision(explain.atMs(), explain.decision(), explain.reason()));
    }

    /**
     * Returns the decisions about a subject, oldest first.
     *
     * @param subject the subject
     * @return the decisions, empty if none are held
     */
    public List<Decision> of(Subject subject) {
        Deque<Decision> kept = decisions.get(subject);
        return kept == null ? List.of() : List.copyOf(kept);
    }

    /**
     * Returns the number of subjects held.
     *
     * @return the number of subjects
     */
    public int size() {
        return decisions.size();
    }

    /** One decision with its time and reason. */
    public record Decision(long atMs, String decision, String reason) {}

    /** An access-ordered map that evicts the least recently used subject beyond the limit. */
    private static final class LeastRecentlyUsedMap extends LinkedHashMap<Subject, Deque<Decision>> {

        private final int maxSubjects;

        LeastRecentlyUsedMap(int maxSubjects) {
            super(16, 0.75f, true);
            this.maxSubjects = maxSubjects;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Subject, Deque<Decision>> eldest) {
            return size() > maxSubjects;
        }
    }
}
