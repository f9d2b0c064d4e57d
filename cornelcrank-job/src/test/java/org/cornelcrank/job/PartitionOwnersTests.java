package org.cornelcrank.job;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.RegionId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PartitionOwnersTests {

    private static final int PARTITION = 3;
    private static final long LIFETIME_MS = 6_000;

    private final SingleListener facts = new SingleListener();
    private final PartitionOwners owners =
            new PartitionOwners(new HostId("self"), new RegionId("near"), facts, new IgnoringListener());

    /** Guards against reads that go on being sent to a daemon which has lost the partition to another region. */
    @Test
    void daemonThatLoadsInAnotherRegionEndsTheUseOfTheOneBefore() {
        facts.receive(5, "near/host-b", 0);
        assertThat(owners.loaderOf(PARTITION, 1)).contains(new HostId("host-b"));
        facts.receive(9, "far/host-c", 1);
        assertThat(owners.loaderOf(PARTITION, 2)).isEmpty();
    }

    @Test
    void daemonThatLoadsIsUsedUntilItsFactExpiresOrAnOwnerIsPublished() {
        facts.receive(5, "near/host-b", 0);
        assertThat(owners.loaderOf(PARTITION, LIFETIME_MS - 1)).contains(new HostId("host-b"));
        assertThat(owners.loaderOf(PARTITION, LIFETIME_MS)).isEmpty();
        facts.receive("owner/" + PARTITION, 6, "host-b", 1);
        assertThat(owners.loaderOf(PARTITION, 2)).isEmpty();
    }

    /** Delivers facts to the one listener. */
    private static final class SingleListener implements Dissemination {

        private FactListener listener;

        @Override
        public void publish(Fact fact, long nowMs, Effects out) {}

        @Override
        public void subscribe(String slice, FactListener newListener) {
            listener = newListener;
        }

        void receive(long version, String value, long nowMs) {
            receive("loads/" + PARTITION, version, value, nowMs);
        }

        void receive(String key, long version, String value, long nowMs) {
            Fact fact = new Fact(
                    JobStateMachine.NAME,
                    key,
                    version,
                    ByteString.copyFromUtf8(value),
                    LIFETIME_MS,
                    Fact.Scope.EVERYWHERE);
            listener.factReceived(fact, nowMs, new Effects());
        }
    }

    /** Ignores what is published. */
    private static final class IgnoringListener implements PartitionOwners.Listener {

        @Override
        public void ownerPublished(int partition, HostId owner, long version, long nowMs, Effects out) {}

        @Override
        public void loaderPublished(int partition, long nowMs, Effects out) {}
    }
}
