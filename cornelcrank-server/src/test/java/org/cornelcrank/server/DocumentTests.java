package org.cornelcrank.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.cornelcrank.config.SettingSchema;
import org.cornelcrank.server.settings.DaemonSettingsParser;
import org.cornelcrank.server.settings.GatewaySettingsParser;
import org.cornelcrank.server.settings.ProcessSetting;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks that the operators' pages match the code. */
class DocumentTests {

    private static final Path ROOT = Path.of("..");
    private static final Pattern FULL_NAME =
            Pattern.compile("\\b(?:counter|meter|timer|registerGauge)\\(\\s*\"([a-z]+\\.[a-z.-]+)\"");
    private static final Pattern SLICE_NAME = Pattern.compile("\\bcount\\(\\s*\"([a-z-]+)\"");
    private static final Pattern DOCUMENTED = Pattern.compile("^\\| `([a-z.-]+)(?:<[a-z ]+>)?` \\|", Pattern.MULTILINE);

    @Test
    void configurationPageListsEveryFlagAndSetting() throws IOException {
        assertThat(Files.readString(ROOT.resolve("docs/CONFIGURATION.md")))
                .contains(flags(DaemonSettingsParser.declared()))
                .contains(flags(GatewaySettingsParser.declared()))
                .contains(settings(SettingSchema.Scope.TEAM))
                .contains(settings(SettingSchema.Scope.API_KEY))
                .contains(settings(SettingSchema.Scope.SERVICE))
                .contains(settings(SettingSchema.Scope.TARGET));
    }

    @Test
    void metricsPageListsExactlyTheMetricsInTheSources() throws IOException {
        Set<String> documented = new TreeSet<>();
        Matcher matcher = DOCUMENTED.matcher(Files.readString(ROOT.resolve("docs/METRICS.md")));
        while (matcher.find()) {
            documented.add(matcher.group(1));
        }
        assertThat(documented).isEqualTo(metricsInSources());
    }

    private static String flags(List<ProcessSetting> declared) {
        StringBuilder table = new StringBuilder("| flag | variable | default | meaning |\n|---|---|---|---|\n");
        for (ProcessSetting setting : declared) {
            String defaultColumn = setting.required() ? "required" : setting.defaultValue();
            table.append("| `--%s <%s>` | `%s` | %s | %s |%n"
                    .formatted(
                            setting.flag(),
                            setting.argument(),
                            setting.environmentVariable(),
                            defaultColumn,
                            setting.description()));
        }
        return table.toString();
    }

    private static String settings(SettingSchema.Scope scope) {
        StringBuilder table =
                new StringBuilder("| key | allowed | unit | default | meaning |\n|---|---|---|---|---|\n");
        for (SettingSchema.Entry entry : SettingSchema.entries()) {
            if (entry.scope() == scope) {
                table.append("| `%s` | %s | %s | %s | %s |%n"
                        .formatted(
                                entry.key(),
                                entry.allowed().replace("|", "\\|"),
                                entry.unit(),
                                entry.defaultValue().orElse(""),
                                entry.description()));
            }
        }
        return table.toString();
    }

    private static Set<String> metricsInSources() throws IOException {
        Set<String> names = new TreeSet<>();
        try (Stream<Path> files = Files.walk(ROOT)) {
            List<Path> sources = files.filter(DocumentTests::isMainSource).toList();
            for (Path source : sources) {
                String text = Files.readString(source);
                FULL_NAME.matcher(text).results().forEach(found -> names.add(found.group(1)));
                String slice = source.getParent().getFileName().toString();
                SLICE_NAME.matcher(text).results().forEach(found -> names.add(slice + "." + found.group(1)));
            }
        }
        return names;
    }

    private static boolean isMainSource(Path path) {
        String text = path.toString();
        return text.endsWith(".java") && text.contains("/src/main/java/") && !text.contains("/wire/");
    }
}
