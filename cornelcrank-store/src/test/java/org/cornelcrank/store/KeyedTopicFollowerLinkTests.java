package org.cornelcrank.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.store.fake.SharedLink;
import org.cornelcrank.store.fake.StoreModel;
import org.cornelcrank.store.fake.StoreNetwork;
import org.cornelcrank.store.fake.VirtualNodes;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Follows partitions of more than one page over a link that daemons share, in virtual time. */
class KeyedTopicFollowerLinkTests {

    private static final long BITS_PER_SECOND = 21_000_000;
    private static final long LATENCY_MS = 30;
    private static final int RECORDS = 70;
    private static final int RECORD_BYTES = 15_000;
    private static final long SLOW_BITS_PER_SECOND = 400_000;

    /** The time limit of a page, of which the first may arrive in part and be read again, and 2 s for all else. */
    private static final long MARGIN_MS = 10_000;

    private final RandomGenerator random =
            RandomGeneratorFactory.of("L64X128MixRandom").create(1);
    private final List<Follower> followers = new ArrayList<>();

    /** Guards against partitions that are never loaded, as no first page arrives whole beside the other transfers. */
    @ParameterizedTest
    @ValueSource(ints = {1, 12, 24, 48})
    void partitionsAreLoadedAboutAsFastAsTheLinkTransfersThem(int partitions) {
        VirtualNodes nodes = new VirtualNodes(StoreModel.withWireLimits(partitions));
        StoreNetwork network = new StoreNetwork(nodes);
        nodes.setNetwork(network);
        SharedLink up = new SharedLink(nodes, BITS_PER_SECOND);
        SharedLink down = new SharedLink(nodes, BITS_PER_SECOND);
        long bytes = 0;
        for (int partition = 0; partition < partitions; partition++) {
            TopicPartition followed = new TopicPartition("jobs", partition);
            nodes.append(append(followed, records()));
            bytes += StoreNetwork.pageBytes(nodes.store().newest(followed).values());
            HostId host = new HostId("host-" + partition);
            network.connect(host, new StoreNetwork.Route(up, down, LATENCY_MS));
            nodes.start(host, startedAtMs -> {
                StoreCalls store = new StoreCalls();
                Follower follower = new Follower(followed, store);
                followers.add(follower);
                return List.of(store, follower);
            });
        }
        long transferMs = bytes * 8 / (BITS_PER_SECOND / 1_000);
        nodes.run(transferMs + MARGIN_MS);
        String report = "%d of %d partitions loaded, %d bytes transferred of %d"
                .formatted(
                        followers.stream().filter(follower -> follower.caughtUp).count(),
                        partitions,
                        network.responseBytes(),
                        bytes);
        assertThat(followers.stream().allMatch(follower -> follower.caughtUp && follower.keys.size() == RECORDS))
                .as(report)
                .isTrue();
    }

    /** Guards against records that are appended while a first page arrives in part, and never read. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void recordsAppendedDuringALoadInPartsAreRead(long seed) {
        VirtualNodes nodes = new VirtualNodes(StoreModel.withWireLimits(1));
        StoreNetwork network = new StoreNetwork(nodes);
        HostId host = new HostId("host");
        network.connect(
                host,
                new StoreNetwork.Route(
                        new SharedLink(nodes, BITS_PER_SECOND),
                        new SharedLink(nodes, SLOW_BITS_PER_SECOND),
                        LATENCY_MS));
        nodes.setNetwork(network);
        TopicPartition followed = new TopicPartition("jobs", 0);
        nodes.append(append(followed, records()));
        nodes.start(host, startedAtMs -> {
            StoreCalls store = new StoreCalls();
            Follower follower = new Follower(followed, store);
            followers.add(follower);
            return List.of(store, follower);
        });
        RandomGenerator appended = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        for (int i = 0; i < 100; i++) {
            String key = "%03d".formatted(appended.nextInt(2 * RECORDS));
            boolean dropped = appended.nextInt(3) == 0;
            nodes.later(
                    appended.nextLong(20_000),
                    () -> nodes.append(append(
                            followed,
                            List.of(new KeyedRecord(
                                    key, dropped ? ByteString.EMPTY : ByteString.copyFromUtf8("newer"))))));
        }
        nodes.run(90_000);
        assertThat(followers.get(0).caughtUp).isTrue();
        assertThat(followers.get(0).keys)
                .isEqualTo(nodes.store().newest(followed).keySet());
    }

    private static StoreRequest.Append append(TopicPartition partition, List<KeyedRecord> records) {
        return new StoreRequest.Append(partition, records, Optional.empty(), 1_000);
    }

    private List<KeyedRecord> records() {
        List<KeyedRecord> records = new ArrayList<>();
        for (int i = 0; i < RECORDS; i++) {
            byte[] value = new byte[RECORD_BYTES];
            random.nextBytes(value);
            records.add(new KeyedRecord("%03d".formatted(2 * i), ByteString.copyFrom(value)));
        }
        return records;
    }

    /** A daemon that does nothing but follow a partition. */
    private final class Follower implements StateMachine, KeyedTopicFollower.Listener {

        private final KeyedTopicFollower follower;
        private final Set<String> keys = new HashSet<>();
        private boolean caughtUp;

        Follower(TopicPartition partition, StoreCalls store) {
            follower = new KeyedTopicFollower(
                    partition,
                    new TimerKey(name(), "follow"),
                    KeyedTopicFollower.Times.immediate(1_000),
                    store,
                    random,
                    this);
        }

        @Override
        public String name() {
            return "follower";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            if (event instanceof Event.Started) {
                follower.start(nowMs, out);
            } else if (event instanceof Event.TimerDue) {
                follower.timerDue(nowMs, out);
            }
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}

        @Override
        public void put(StoreResponse.StoredRecord record, long nowMs, Effects out) {
            keys.add(record.key());
        }

        @Override
        public void dropped(String key, long nowMs, Effects out) {
            keys.remove(key);
        }

        @Override
        public void caughtUp(long nowMs, Effects out) {
            caughtUp = true;
        }
    }
}
