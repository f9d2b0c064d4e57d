package org.cornelcrank.cli.client;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the format of API keys and of their settings. */
class ApiKeyTests {

    @Test
    void settingContainsTheSaltedHashButNotTheSecret() {
        ApiKey key = new ApiKey("k1", "secret", "ab12", "caller", 0);
        assertThat(key.bearer()).isEqualTo("k1.secret");
        assertThat(key.settingValue())
                .isEqualTo("ab12:6eb98e8f09678d515bae04571e20dedb1004581dbb960bab1d71f0363e3ec93c:caller");
    }

    @Test
    void expiryTimeIsTheLastPart() {
        assertThat(new ApiKey("k1", "secret", "ab12", "operator", 17).settingValue())
                .endsWith(":operator:17");
    }
}
