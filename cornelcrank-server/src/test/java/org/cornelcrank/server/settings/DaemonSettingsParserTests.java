package org.cornelcrank.server.settings;

import java.util.Map;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DaemonSettingsParserTests {

    private static final Map<String, String> REQUIRED_SETTINGS = Map.of(
            "CORNELCRANK_DEPLOYMENT", "nilavu",
            "CORNELCRANK_HOST", "entry-1",
            "CORNELCRANK_REGION", "kerala-south",
            "CORNELCRANK_DATA_CENTRE", "tvm-a",
            "CORNELCRANK_LOG_URL", "http://127.0.0.1:9000",
            "CORNELCRANK_HOSTS_URL", "http://127.0.0.1:9001",
            "CORNELCRANK_SHARED_KEY", "secret",
            "CORNELCRANK_REGIONS", "kerala-south,kerala-north");

    @Test
    void environmentVariablesSuffice() {
        DaemonSettings settings = valid(REQUIRED_SETTINGS);
        assertThat(settings.host().value()).isEqualTo("entry-1");
        assertThat(settings.regions()).hasSize(2);
        assertThat(settings.partitionsPerRegion()).isEqualTo(16);
    }

    @Test
    void flagOverridesTheEnvironment() {
        assertThat(valid(REQUIRED_SETTINGS, "--host", "entry-2").host().value()).isEqualTo("entry-2");
    }

    @Test
    void everyInvalidSettingIsReportedWithWhatIsAllowed() {
        String[] args = {
            "--host", "no spaces", "--region", "elsewhere", "--http-address", "localhost:80", "--seeds", "alpha",
            "--partitions", "0", "--policy", "best", "--log-url", "ftp://x", "--tls-key", "/does/not/exist",
            "--max-body-bytes", "much", "surplus"
        };
        SettingsResult<DaemonSettings> result = DaemonSettingsParser.parse(args, Map.of());
        Approvals.verify(String.join("\n", ((SettingsResult.Invalid<DaemonSettings>) result).errors()));
    }

    @Test
    void helpListsEverySetting() {
        SettingsResult<DaemonSettings> result = DaemonSettingsParser.parse(new String[] {"--help"}, Map.of());
        Approvals.verify(((SettingsResult.HelpRequested<DaemonSettings>) result).text());
    }

    private static DaemonSettings valid(Map<String, String> environment, String... args) {
        SettingsResult<DaemonSettings> result = DaemonSettingsParser.parse(args, environment);
        assertThat(result).isInstanceOf(SettingsResult.Valid.class);
        return ((SettingsResult.Valid<DaemonSettings>) result).settings();
    }
}
