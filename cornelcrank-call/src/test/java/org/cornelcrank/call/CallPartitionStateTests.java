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

/** Applies generated histories of competing runs to the state, and compares it with a simple model. */
class CallPartitionStateTests {

    private static final CallKey KEY = new CallKey("nilavu", "slip-7");

    @Property(seed = "815", tries = 500)
    void onlyTheRunOfTheFirstIntentFinishesOrRemovesTheGuard(@ForAll("histories") List<Step> history) {
        CallPartitionState state = new CallPartitionState();
        String permittedRun = "";
        long responseOffset = -1;
        for (int offset = 0; offset < history.size(); offset++) {
            Step step = history.get(offset);
            state.apply(step.record(), new RecordPosition(offset, 0), offset);
            boolean isPermitted = step.run().equals(permittedRun);
            if (step.kind() == Kind.INTEND && permittedRun.isEmpty()) {
                permittedRun = step.run();
            } else if (step.kind() == Kind.FINISH && isPermitted && responseOffset < 0) {
                responseOffset = offset;
            } else if (step.kind() == Kind.REMOVE && isPermitted && responseOffset < 0) {
                permittedRun = "";
            }
            assertThat(state.guard(KEY).map(CallGuard::run).orElse("")).isEqualTo(permittedRun);
            assertThat(state.guard(KEY)
                            .flatMap(CallGuard::responsePosition)
                            .map(RecordPosition::offset)
                            .orElse(-1L))
                    .isEqualTo(responseOffset);
        }
    }

    @Property(seed = "816", tries = 200)
    void restoredStateAppliesFurtherRecordsLikeTheOriginal(
            @ForAll("histories") List<Step> history, @ForAll int splitSeed) {
        int split = Math.floorMod(splitSeed, history.size() + 1);
        CallPartitionState original = new CallPartitionState();
        CallPartitionState restored = new CallPartitionState();
        for (int offset = 0; offset < history.size(); offset++) {
            if (offset == split) {
                restored.restore(original.checkpoint());
            }
            original.apply(history.get(offset).record(), new RecordPosition(offset, 0), offset);
            if (offset >= split) {
                restored.apply(history.get(offset).record(), new RecordPosition(offset, 0), offset);
            }
        }
        if (split < history.size()) {
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
        REMOVE
    }

    record Step(Kind kind, String run) {

        DurableRecord record() {
            return switch (kind) {
                case INTEND -> CallRecords.intended(KEY, run, ByteString.EMPTY);
                case FINISH -> CallRecords.finished(
                        KEY, run, new ServiceResponse(200, "text/plain", ByteString.EMPTY), 10);
                case REMOVE -> CallRecords.notRun(KEY, run);
            };
        }
    }
}
