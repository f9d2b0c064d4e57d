package org.cornelcrank.server.http;

import java.nio.charset.StandardCharsets;
import java.util.Set;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

class BatchLineValidatorTests {

    private final BatchLineValidator validator =
            new BatchLineValidator(new ObjectMapper(), Set.of("saarthi-lm", "other-lm"));

    @Test
    void malformedLineIsReportedByItsNumber() {
        accept("a", "saarthi-lm");
        assertThatThrownBy(() -> validator.accept("{\"custom_id\":".getBytes(StandardCharsets.UTF_8)))
                .hasMessage("line 2: must be one complete JSON object; nothing was accepted");
    }

    @Test
    void bothLinesWithTheSameIdAreReported() {
        accept("a", "saarthi-lm");
        accept("b", "saarthi-lm");
        accept("a", "saarthi-lm");
        assertThatThrownBy(validator::requireDistinctIds)
                .hasMessage("lines 1 and 3 have the same custom_id; nothing was accepted");
    }

    @Test
    void modelOfAnotherTeamIsRejected() {
        assertThatThrownBy(() -> accept("a", "foreign-lm")).hasMessageContaining("not open to this team");
    }

    @Test
    void allLinesMustUseTheSameModel() {
        accept("a", "saarthi-lm");
        assertThatThrownBy(() -> accept("b", "other-lm")).hasMessageContaining("line 2: model must be 'saarthi-lm'");
    }

    @Test
    void lineForAnotherEndpointIsRejected() {
        String line = "{\"custom_id\":\"a\",\"method\":\"POST\",\"url\":\"/v1/embeddings\",\"body\":{}}";
        assertThatThrownBy(() -> validator.accept(line.getBytes(StandardCharsets.UTF_8)))
                .hasMessageContaining("line 1: 'url' must be one of");
    }

    private void accept(String customId, String model) {
        String line =
                "{\"custom_id\":\"%s\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\"%s\"}}"
                        .formatted(customId, model);
        validator.accept(line.getBytes(StandardCharsets.UTF_8));
    }
}
