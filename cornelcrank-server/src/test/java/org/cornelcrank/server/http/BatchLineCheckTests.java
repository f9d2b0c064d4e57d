package org.cornelcrank.server.http;

import java.nio.charset.StandardCharsets;
import java.util.Set;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

class BatchLineCheckTests {

    private final BatchLineCheck check = new BatchLineCheck(new ObjectMapper(), Set.of("saarthi-lm", "other-lm"));

    @Test
    void aBrokenLineIsNamedByItsNumber() {
        accept("a", "saarthi-lm");
        assertThatThrownBy(() -> check.accept("{\"custom_id\":".getBytes(StandardCharsets.UTF_8)))
                .hasMessage("line 2: must be one whole JSON object; nothing was accepted");
    }

    @Test
    void linesWithTheSameIdAreBothNamed() {
        accept("a", "saarthi-lm");
        accept("b", "saarthi-lm");
        accept("a", "saarthi-lm");
        assertThatThrownBy(check::requireDistinctIds)
                .hasMessage("lines 1 and 3 have the same custom_id; nothing was accepted");
    }

    @Test
    void aModelOfAnotherTeamIsRefused() {
        assertThatThrownBy(() -> accept("a", "foreign-lm")).hasMessageContaining("not open to this team");
    }

    @Test
    void allLinesAskForTheSameModel() {
        accept("a", "saarthi-lm");
        assertThatThrownBy(() -> accept("b", "other-lm")).hasMessageContaining("line 2: model must be 'saarthi-lm'");
    }

    @Test
    void aLineForAnotherEndpointIsRefused() {
        String line = "{\"custom_id\":\"a\",\"method\":\"POST\",\"url\":\"/v1/embeddings\",\"body\":{}}";
        assertThatThrownBy(() -> check.accept(line.getBytes(StandardCharsets.UTF_8)))
                .hasMessageContaining("line 1: 'url' must be one of");
    }

    private void accept(String customId, String model) {
        String line =
                "{\"custom_id\":\"%s\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\"%s\"}}"
                        .formatted(customId, model);
        check.accept(line.getBytes(StandardCharsets.UTF_8));
    }
}
