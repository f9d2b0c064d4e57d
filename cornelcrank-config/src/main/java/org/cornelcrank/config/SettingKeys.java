package org.cornelcrank.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.cornelcrank.config.SettingSchema.Scope;
import org.cornelcrank.core.Urgency;

/**
 * The keys of the settings with their types, units, ranges and defaults.
 *
 * <p>Stateless, thus thread-safe.
 */
final class SettingKeys {

    static final String API_KEYS = "api-keys";

    private static final long MAX_DURATION_MS = 30L * 24 * 3_600_000;

    static final SettingDefinition<String> HOME_REGION = team(
            "home-region",
            SettingTypes.name(),
            "",
            null,
            "region whose partitions keep the team's jobs and idempotency keys; a team is not served without it");
    static final SettingDefinition<Urgency> URGENCY = team(
            "urgency",
            SettingTypes.choice(
                    List.of(
                            Urgency.IMMEDIATE.settingName(),
                            Urgency.INTERACTIVE.settingName(),
                            Urgency.BATCH.settingName()),
                    Urgency::ofSettingName),
            "",
            "interactive",
            "rank of online requests");
    static final SettingDefinition<Long> DEADLINE_MS =
            team("deadline-ms", duration(1), "ms", "30000", "how long an online request may take in all");
    static final SettingDefinition<Set<String>> SERVICES =
            team("services", SettingTypes.nameList(), "", "", "services that may be asked for");
    static final SettingDefinition<List<String>> TARGETS =
            team("targets", SettingTypes.targetPatterns(), "", "", "targets that may serve; all if empty");
    static final SettingDefinition<Long> SHARE = team(
            "share", SettingTypes.wholeNumber(1, 1_000), "", "1", "weight among teams when batch work shares capacity");
    static final SettingDefinition<Double> MAX_REQUESTS_PER_SECOND = team(
            "max-requests-per-s",
            SettingTypes.number(0, 100_000),
            "requests/s",
            "100",
            "online requests that are taken in");
    static final SettingDefinition<Long> MAX_TOKENS_PER_SECOND = team(
            "max-tokens-per-s",
            SettingTypes.wholeNumber(0, 1_000_000_000),
            "tokens/s",
            "1000000",
            "tokens that may be generated");
    static final SettingDefinition<Long> MAX_OPEN_JOBS = team(
            "max-open-jobs", SettingTypes.wholeNumber(0, 100_000), "jobs", "100", "batch jobs that are not finished");
    static final SettingDefinition<Long> MAX_STORED_BYTES = team(
            "max-stored-bytes",
            SettingTypes.wholeNumber(0, 1L << 50),
            "bytes",
            "1073741824",
            "bodies and results that are kept");
    static final SettingDefinition<Long> BATCH_DEADLINE_MS =
            team("batch-deadline-ms", duration(1), "ms", "86400000", "when a batch job is due after its acceptance");
    static final SettingDefinition<Long> RESULT_RETENTION_MS =
            team("result-retention-ms", duration(1), "ms", "604800000", "how long results stay readable");
    static final SettingDefinition<Long> MAX_ITEM_ATTEMPTS = team(
            "max-item-attempts",
            SettingTypes.wholeNumber(1, 100),
            "attempts",
            "3",
            "attempts after which an item ends as failed");

    static final SettingDefinition<ServiceKind> KIND = service(
            "kind",
            SettingTypes.choice(List.of("model", "plain"), SettingKeys::parseKind),
            "",
            "model",
            "whether model engines or plain HTTP services stand behind it");
    static final SettingDefinition<List<RepeatableRoute>> REPEATABLE =
            service("repeatable", SettingTypes.routes(), "", "", "calls of a plain service that may be repeated");
    static final SettingDefinition<Long> ATTEMPT_TIMEOUT_MS = service(
            "attempt-timeout-ms", duration(1), "ms", "60000", "silence after which an attempt on a target is given up");
    static final SettingDefinition<String> VERSION = service(
            "version", SettingTypes.nameOrNothing(), "", "", "version that targets are to have loaded; any if empty");
    static final SettingDefinition<Set<String>> ADAPTERS =
            service("adapters", SettingTypes.nameList(), "", "", "adapters that targets are to have loaded besides");
    static final SettingDefinition<Long> REPLICAS = service(
            "replicas",
            SettingTypes.wholeNumber(0, 10_000),
            "targets",
            "0",
            "targets of each region that are to have it loaded; 0 leaves targets as they are");

    static final SettingDefinition<Long> SLOTS = target(
            "slots",
            SettingTypes.wholeNumber(0, 10_000),
            "requests",
            "0",
            "requests that run at once; 0 takes the target's own report");
    static final SettingDefinition<Boolean> CHECKS_FENCING = target(
            "checks-fencing", SettingTypes.bool(), "", "false", "whether it refuses orders with an old fencing number");
    static final SettingDefinition<Boolean> DRAINING =
            target("draining", SettingTypes.bool(), "", "false", "whether it gets no new work");
    static final SettingDefinition<String> ROLE =
            target("role", SettingTypes.name(), "", "mixed", "role that the engine is ordered to take");

    static final SettingDefinition<SettingTypes.ApiKeyFields> API_KEY = new SettingDefinition<>(
            Scope.API_KEY,
            API_KEYS + "/<keyId>",
            SettingTypes.apiKey(),
            "",
            Optional.empty(),
            "salted hash of an API key of the team");

    static final List<SettingDefinition<?>> ALL = List.of(
            HOME_REGION,
            URGENCY,
            DEADLINE_MS,
            SERVICES,
            TARGETS,
            SHARE,
            MAX_REQUESTS_PER_SECOND,
            MAX_TOKENS_PER_SECOND,
            MAX_OPEN_JOBS,
            MAX_STORED_BYTES,
            BATCH_DEADLINE_MS,
            RESULT_RETENTION_MS,
            MAX_ITEM_ATTEMPTS,
            API_KEY,
            KIND,
            REPEATABLE,
            ATTEMPT_TIMEOUT_MS,
            VERSION,
            ADAPTERS,
            REPLICAS,
            SLOTS,
            CHECKS_FENCING,
            DRAINING,
            ROLE);

    private SettingKeys() {}

    private static SettingType<Long> duration(long leastMs) {
        return SettingTypes.wholeNumber(leastMs, MAX_DURATION_MS);
    }

    private static Optional<ServiceKind> parseKind(String text) {
        return switch (text) {
            case "model" -> Optional.of(ServiceKind.MODEL);
            case "plain" -> Optional.of(ServiceKind.PLAIN);
            default -> Optional.empty();
        };
    }

    private static <T> SettingDefinition<T> team(
            String key, SettingType<T> type, String unit, String defaultText, String description) {
        return new SettingDefinition<>(Scope.TEAM, key, type, unit, Optional.ofNullable(defaultText), description);
    }

    private static <T> SettingDefinition<T> service(
            String key, SettingType<T> type, String unit, String defaultText, String description) {
        return new SettingDefinition<>(Scope.SERVICE, key, type, unit, Optional.of(defaultText), description);
    }

    private static <T> SettingDefinition<T> target(
            String key, SettingType<T> type, String unit, String defaultText, String description) {
        return new SettingDefinition<>(Scope.TARGET, key, type, unit, Optional.of(defaultText), description);
    }
}
