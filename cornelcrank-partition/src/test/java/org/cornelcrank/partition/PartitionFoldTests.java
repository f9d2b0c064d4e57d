package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.google.protobuf.ByteString;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.partition.wire.CarriedRecord;
import org.cornelcrank.partition.wire.CarriedRecords;
import org.cornelcrank.partition.wire.CheckpointPart;
import org.cornelcrank.partition.wire.Claim;
import org.cornelcrank.partition.wire.Group;
import org.cornelcrank.partition.wire.Record;
import org.cornelcrank.partition.wire.Records;
import org.cornelcrank.partition.wire.Release;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs the fold on generated histories of several writers, which may be stale and repeat their appends. */
class PartitionFoldTests {

    private static final PartitionId PARTITION = new PartitionId(TestFleet.REGION, 0);
    private static final int WRITERS = 3;
    private static final int MAX_STEPS = 60;
    private static final int MAX_PART_BYTES = 24;

    /** An action of a writer, which has read the stream only up to some earlier step. */
    private enum Action {
        CATCH_UP,
        CLAIM,
        APPEND,
        REPEAT,
        RELEASE,
        CARRY_OVER
    }

    private record Step(int writer, Action action) {}

    @Property(seed = "42", tries = 400)
    void readersAgreeAndEachEpochHasOneWriter(@ForAll("histories") List<Step> steps) {
        List<Group> stream = play(steps);
        PartitionFold first = newFold();
        PartitionFold second = newFold();
        Set<String> writersOfEpoch = new TreeSet<>();
        Set<String> applied = new TreeSet<>();
        long epoch = first.epoch();
        for (int offset = 0; offset < stream.size(); offset++) {
            Group group = stream.get(offset);
            PartitionFold.Outcome outcome = first.apply(offset, offset, group, position -> {});
            assertThat(second.apply(offset, offset, group, position -> {})).isEqualTo(outcome);
            if (first.epoch() != epoch) {
                assertThat(first.epoch()).isEqualTo(offset).isGreaterThan(epoch);
                epoch = first.epoch();
                writersOfEpoch.clear();
            }
            if (outcome != PartitionFold.Outcome.VOID) {
                writersOfEpoch.add(group.getWriter());
                assertThat(applied.add(group.getWriter() + "/" + group.getSequence()))
                        .as("applied once: %s", group)
                        .isTrue();
            }
            assertThat(writersOfEpoch).hasSizeLessThanOrEqualTo(1);
        }
        assertThat(stateOf(second)).isEqualTo(stateOf(first));
    }

    @Property(seed = "43", tries = 400)
    void readerFromCheckpointAgreesWithReaderFromStart(@ForAll("histories") List<Step> steps, @ForAll("cuts") int cut) {
        List<Group> stream = play(steps);
        PartitionFold fromStart = newFold();
        PartitionFold fromCheckpoint = newFold();
        int start = stream.isEmpty() ? 0 : cut % stream.size();
        for (int offset = 0; offset < stream.size(); offset++) {
            if (offset == start && start > 0) {
                fromCheckpoint.restore(collect(fromStart.checkpoint(MAX_PART_BYTES)));
            }
            PartitionFold.Outcome outcome = fromStart.apply(offset, offset, stream.get(offset), position -> {});
            if (offset >= start) {
                assertThat(fromCheckpoint.apply(offset, offset, stream.get(offset), position -> {}))
                        .as("offset " + offset)
                        .isEqualTo(outcome);
            }
        }
        assertThat(stateOf(fromCheckpoint)).isEqualTo(stateOf(fromStart));
    }

    @Provide
    Arbitrary<List<Step>> histories() {
        Arbitrary<Integer> writers = Arbitraries.integers().between(0, WRITERS - 1);
        Arbitrary<Action> actions = Arbitraries.frequencyOf(
                Tuple.of(4, Arbitraries.just(Action.CATCH_UP)),
                Tuple.of(3, Arbitraries.just(Action.CLAIM)),
                Tuple.of(8, Arbitraries.just(Action.APPEND)),
                Tuple.of(4, Arbitraries.just(Action.REPEAT)),
                Tuple.of(1, Arbitraries.just(Action.RELEASE)),
                Tuple.of(2, Arbitraries.just(Action.CARRY_OVER)));
        return Combinators.combine(writers, actions).as(Step::new).list().ofMaxSize(MAX_STEPS);
    }

    @Provide
    Arbitrary<Integer> cuts() {
        return Arbitraries.integers().between(0, MAX_STEPS);
    }

    private static List<Group> play(List<Step> steps) {
        List<Group> stream = new ArrayList<>();
        Writer[] writers = new Writer[WRITERS];
        for (int writer = 0; writer < WRITERS; writer++) {
            writers[writer] = new Writer("w" + writer);
        }
        for (Step step : steps) {
            writers[step.writer()].perform(step.action(), stream);
        }
        return stream;
    }

    private static List<CheckpointPart> collect(List<CheckpointPart> parts) {
        CheckpointCollector collector = new CheckpointCollector();
        List<CheckpointPart> complete = List.of();
        for (CheckpointPart part : parts) {
            complete = collector.add("w0", part).orElse(complete);
            assertThat(collector.add("w1", part.toBuilder().setIndex(7).build()))
                    .isEmpty();
        }
        assertThat(complete).isEqualTo(parts);
        return complete;
    }

    private static PartitionFold newFold() {
        return TestFolds.fold(PartitionSettings.defaults(), PARTITION);
    }

    private static List<Object> stateOf(PartitionFold fold) {
        Ledger ledger = (Ledger) fold.state(LedgerClient.SLICE);
        return List.of(fold.epoch(), fold.ownerWriter(), fold.released(), ledger.applied(), ledger.entries());
    }

    /** A daemon that acts on its last read of the stream, however stale that is. */
    private static final class Writer {

        private final String name;
        private final PartitionFold fold = newFold();
        private final List<Group> written = new ArrayList<>();
        private int nextOffset;
        private long sequence;

        private Writer(String name) {
            this.name = name;
        }

        private void perform(Action action, List<Group> stream) {
            switch (action) {
                case CATCH_UP -> catchUp(stream);
                case CLAIM -> write(Group.newBuilder().setClaim(claim()), stream);
                case APPEND -> write(Group.newBuilder().setRecords(records()), stream);
                case RELEASE -> write(
                        Group.newBuilder().setRelease(Release.newBuilder().setSuccessor("w1")), stream);
                case CARRY_OVER -> write(Group.newBuilder().setCarried(carried()), stream);
                default -> repeat(stream);
            }
        }

        private void catchUp(List<Group> stream) {
            while (nextOffset < stream.size()) {
                fold.apply(nextOffset, nextOffset, stream.get(nextOffset), position -> {});
                nextOffset++;
            }
        }

        private void write(Group.Builder body, List<Group> stream) {
            sequence++;
            Group group = body.setWriter(name)
                    .setSequence(sequence)
                    .setEpoch(fold.epoch())
                    .build();
            written.add(group);
            stream.add(group);
        }

        private void repeat(List<Group> stream) {
            if (!written.isEmpty()) {
                stream.add(written.get(written.size() / 2));
                stream.add(written.get(written.size() - 1));
            }
        }

        private Claim claim() {
            return Claim.newBuilder().setOwner(name).setSupersedes(fold.epoch()).build();
        }

        private Records records() {
            return Records.newBuilder()
                    .addRecords(record("shared " + sequence))
                    .addRecords(record(name + " " + sequence))
                    .build();
        }

        private Record record(String text) {
            return Record.newBuilder()
                    .setSlice(LedgerClient.SLICE)
                    .setPayload(ByteString.copyFromUtf8(text))
                    .build();
        }

        private CarriedRecords carried() {
            Ledger ledger = (Ledger) fold.state(LedgerClient.SLICE);
            CarriedRecords.Builder carried = CarriedRecords.newBuilder();
            for (RecordPosition position : ledger.neededBefore(Long.MAX_VALUE, 2)) {
                carried.addRecords(CarriedRecord.newBuilder()
                        .setSlice(LedgerClient.SLICE)
                        .setFromOffset(position.offset())
                        .setFromIndex(position.index()));
            }
            return carried.build();
        }
    }
}
