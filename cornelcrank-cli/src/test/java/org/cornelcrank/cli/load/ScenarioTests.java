package org.cornelcrank.cli.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests parsing and validation of scenarios. */
class ScenarioTests {

    @ParameterizedTest
    @ValueSource(strings = {"nilavu", "tatranske", "added-latency"})
    void bundledScenariosAreValid(String name) throws IOException {
        Scenario scenario = Scenario.read(name);
        assertThat(scenario.plan().slotsOf(scenario.online().get(0).model())).isPositive();
    }

    @Test
    void allProblemsAreReportedTogether() {
        assertThatThrownBy(() -> parse("{\"name\":\"x\",\"durationMs\":0,\"maxRequests\":10,\"online\":[]}"))
                .hasMessageContaining("'deployment' or 'fleet'")
                .hasMessageContaining("'durationMs'")
                .hasMessageContaining("'online'");
    }

    @Test
    void unknownFieldIsReported() {
        assertThatThrownBy(() -> parse("{\"name\":\"x\",\"durationMillis\":5}"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("durationMillis");
    }

    private static Scenario parse(String json) {
        return Scenario.parse(json.getBytes(StandardCharsets.UTF_8), "test");
    }
}
