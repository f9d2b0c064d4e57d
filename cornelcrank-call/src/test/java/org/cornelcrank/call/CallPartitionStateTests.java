package org.cornelcrank.call;

import java.util.List;

import com.google.protobuf.ByteString;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.RecordPosition;

import static org.assertj.core.api.Assertions.assertThat;

/** Drives the fold through generated histories of competing runs, and compares it with a plain model. */
class CallPartitionStateTests {

    private static final CallKey KEY = new CallKey("nilavu", "slip-7");

    @Property(seed = "815", tries = 500)
    void onlyTheRunOfTheFirstIntentFinishesOrLiftsTheGuard(@ForAll("histories") List<Step> history) {
        CallPartitionState state = new CallPartitionState();
        String allowed = "";
        long answerAt = -1;
        for (int offset = 0; offset < history.size(); offset++) {
            Step step = history.get(offset);
            state.apply(step.record(), new RecordPosition(offset, 0), offset);
            boolean own = step.run().equals(allowed);
            if (step.kind() == Kind.INTEND && allowed.isEmpty()) {
                allowed = step.run();
            } else if (step.kind() == Kind.FINISH && own && answerAt < 0) {
                answerAt = offset;
            } else if (step.kind() == Kind.LIFT && own && answerAt < 0) {
                allowed = "";
            }
            assertThat(state.guard(KEY).map(CallGuard::run).orElse("")).isEqualTo(allowed);
            assertThat(state.guard(KEY)
                            .flatMap(CallGuard::responsePosition)
                            .map(RecordPosition::offset)
                            .orElse(-1L))
                    .isEqualTo(answerAt);
        }
    }

    @Property(seed = "816", tries = 200)
    void restoredStateFoldsTheRestLikeTheOriginal(@ForAll("histories") List<Step> history, @ForAll int cutSeed) {
        int cut = Math.floorMod(cutSeed, history.size() + 1);
        CallPartitionState original = new CallPartitionState();
        CallPartitionState restored = new CallPartitionState();
        for (int offset = 0; offset < history.size(); offset++) {
            if (offset == cut) {
                restored.restore(original.checkpoint());
            }
            original.apply(history.get(offset).record(), new RecordPosition(offset, 0), offset);
            if (offset >= cut) {
                restored.apply(history.get(offset).record(), new RecordPosition(offset, 0), offset);
            }
        }
        if (cut < history.size()) {
            assertThat(restored.checkpoint()).isEqualTo(original.checkpoint());
        }
    }

    @Provide
    Arbitrary<List<Step>> histories() {
        return Combinators.combine(Arbitraries.of(Kind.values()), Arbitraries.of("run-a", "run-b", "run-c"))
                .as(Step::new)
                .list()
                .ofMaxSize(20);
    }

    enum Kind {
        INTEND,
        FINISH,
        LIFT
    }

    record Step(Kind kind, String run) {

        DurableRecord record() {
            return switch (kind) {
                case INTEND -> CallRecords.intended(KEY, run, ByteString.EMPTY);
                case FINISH -> CallRecords.finished(
                        KEY, run, new ServiceResponse(200, "text/plain", ByteString.EMPTY), 10);
                case LIFT -> CallRecords.notRun(KEY, run);
            };
        }
    }
}
