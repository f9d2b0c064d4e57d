package org.cornelcrank.cli;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the demonstration of each bundled deployment. */
class DemoCommandTests {

    @ParameterizedTest
    @ValueSource(strings = {"nilavu", "tatranske"})
    void everyResponseIsCompleteAndNothingIsLostOrDuplicated(String deployment) {
        ProgramRun run = ProgramRun.of("demo", "--deployment", deployment);
        assertThat(run.out())
                .contains("60 of 60 items completed, 0 failed; 60 result lines")
                .contains("the service ran it 1 time\n")
                .contains("all responses are complete, and nothing is lost or duplicated");
        assertThat(run.exitCode()).isZero();
    }
}
