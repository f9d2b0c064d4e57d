package org.cornelcrank.config;

import java.util.List;
import java.util.stream.Collectors;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SettingSchemaTests {

    @Test
    void problemsStatePathValueAndAllowedValues() {
        List<List<String>> invalid = List.of(
                List.of("nilavu/share", "1"),
                List.of("/share", "1"),
                List.of("/nilavu/", "1"),
                List.of("/nilavu/ki osk/share", "1"),
                List.of("/nilavu/shares", "1"),
                List.of("/nilavu/share", "0"),
                List.of("/nilavu/share", "1001"),
                List.of("/nilavu/share", "many"),
                List.of("/nilavu/kiosk/urgency", "now"),
                List.of("/nilavu/deadline-ms", "-1"),
                List.of("/nilavu/home-region", ""),
                List.of("/nilavu/services", "saarthi-lm,,x"),
                List.of("/nilavu/targets", "runner-[12]"),
                List.of("/nilavu/max-requests-per-s", "NaN"),
                List.of("/nilavu/api-keys", "x"),
                List.of("/nilavu/api-keys/k1", "plain-secret"),
                List.of("/nilavu/api-keys/k1", "0011223344556677:0011223344556677:root"),
                List.of("/nilavu/api-keys/k1/more", "x"),
                List.of("/api-keys/k1", "x"),
                List.of("/fleet/share", "1"),
                List.of("/fleet/defaults/kind", "model"),
                List.of("/fleet/services/saarthi-lm/kind", "engine"),
                List.of("/fleet/services/saarthi-lm/share", "1"),
                List.of("/fleet/services/tokens/repeatable", "GET"),
                List.of("/fleet/targets/r1/draining", "yes"),
                List.of("/fleet/runners/r1/draining", "true"),
                List.of("/nilavu/services", "x".repeat(5_000)));

        Approvals.verify(invalid.stream()
                .map(setting ->
                        SettingSchema.problem(setting.get(0), setting.get(1)).orElse("allowed: " + setting))
                .collect(Collectors.joining("\n", "", "\n")));
    }

    @Test
    void schemaEntriesMatchDocumentation() {
        Approvals.verify(SettingSchema.entries().stream()
                .map(entry -> String.join(
                        " | ",
                        entry.scope().name(),
                        entry.key(),
                        entry.type(),
                        entry.unit(),
                        entry.allowed(),
                        entry.defaultValue().orElse("(none)"),
                        entry.description()))
                .collect(Collectors.joining("\n", "", "\n")));
    }

    @Test
    void defaultsAreValidForTheirTypes() {
        for (SettingDefinition<?> definition : SettingKeys.ALL) {
            definition.defaultText().ifPresent(text -> assertThat(
                            definition.type().parse(text))
                    .as(definition.key())
                    .isPresent());
        }
    }

    @Test
    void validSettingsAreAllowed() {
        List<List<String>> valid = List.of(
                List.of("/nilavu/home-region", "kerala-south"),
                List.of("/nilavu/kiosk/urgency", "immediate"),
                List.of("/nilavu/services", "saarthi-lm, tokens"),
                List.of("/nilavu/targets", "saarthi-*,r9"),
                List.of("/nilavu/api-keys/k1", "0011223344556677:0011223344556677:caller:1900000000000"),
                List.of("/fleet/defaults/max-item-attempts", "5"),
                List.of("/fleet/services/tokens/repeatable", "GET /tokens/*, * /status"),
                List.of("/fleet/targets/r1/checks-fencing", "true"));

        assertThat(valid).allSatisfy(setting -> assertThat(SettingSchema.problem(setting.get(0), setting.get(1)))
                .isEmpty());
    }
}
