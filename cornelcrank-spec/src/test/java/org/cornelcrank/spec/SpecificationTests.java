package org.cornelcrank.spec;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SpecificationTests {

    private static final int WORKERS = 2;

    @ParameterizedTest
    @CsvSource({
        "PartitionOwnership, ItemWithCheckpoint, 332744",
        "PartitionOwnership, ItemWithRepeats, 18749",
        "PartitionOwnership, CallWithRestart, 65475",
        "PartitionOwnership, CallWithRepeats, 18749",
        "Configuration, Configuration, 268491",
        "JobResults, JobResults, 19109"
    })
    void everyInvariantHoldsInEveryReachableState(String module, String configuration, long distinctStates)
            throws Exception {
        ModelChecker.Result result = ModelChecker.check(module, configuration, WORKERS);
        System.out.printf("%s: %d distinct states%n", configuration, result.distinctStates());
        assertThat(result.finished()).as(result.output()).isTrue();
        assertThat(result.statesLeft()).isZero();
        assertThat(result.distinctStates())
                .as("distinct states of %s: change the count only with the specification", configuration)
                .isEqualTo(distinctStates);
    }

    @ParameterizedTest
    @CsvSource({
        "PartitionOwnership, WithoutReadBackItem, AcknowledgedStaysReadable",
        "PartitionOwnership, WithoutReadBackCall, CallRunsAtMostOnce",
        "PartitionOwnership, WithoutEpochCheckItem, ItemCompletesOnce",
        "PartitionOwnership, WithoutEpochCheckCall, CallRunsAtMostOnce",
        "PartitionOwnership, WithoutEpochCheckOwner, OneEffectiveOwnerPerOffset",
        "PartitionOwnership, WithoutIntent, CallRunsAtMostOnce",
        "Configuration, WithoutVersionCheck, ConfigurationNeverReverts",
        "JobResults, JobWithoutEpoch, ListedIsStored",
        "JobResults, JobAckBeforeStore, ListedIsStored",
        "JobResults, JobPositionReused, ListedIsStored"
    })
    void protocolWithoutOneOfItsRulesHasACounterexample(String module, String configuration, String invariant)
            throws Exception {
        ModelChecker.Result result = ModelChecker.check(module, configuration, 1);
        System.out.printf(
                "%s: %s violated after %d distinct states%n", configuration, invariant, result.distinctStates());
        assertThat(result.violated()).as(result.output()).contains(invariant);
    }
}
