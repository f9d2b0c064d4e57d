package org.cornelcrank.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.cornelcrank.config.SettingSchema.Scope;
import org.cornelcrank.core.Urgency;

/**
 * Defines the setting keys with their types, units, ranges and defaults.
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
            "region whose partitions store the team's jobs and idempotency keys; a team without it is not served");
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
            "priority of online requests");
    static final SettingDefinition<Long> DEADLINE_MS =
            team("deadline-ms", duration(1), "ms", "30000", "maximum total duration of an online request");
    static final SettingDefinition<Set<String>> SERVICES =
            team("services", SettingTypes.nameList(), "", "", "services that may be requested");
    static final SettingDefinition<List<String>> TARGETS =
            team("targets", SettingTypes.targetPatterns(), "", "", "targets that may serve requests; all if empty");
    static final SettingDefinition<Long> SHARE = team(
            "share", SettingTypes.wholeNumber(1, 1_000), "", "1", "weight among teams when batch work shares capacity");
    static final SettingDefinition<Double> MAX_REQUESTS_PER_SECOND = team(
            "max-requests-per-s",
            SettingTypes.number(0, 100_000),
            "requests/s",
            "100",
            "maximum rate of accepted online requests");
    static final SettingDefinition<Long> MAX_TOKENS_PER_SECOND = team(
            "max-tokens-per-s",
            SettingTypes.wholeNumber(0, 1_000_000_000),
            "tokens/s",
            "1000000",
            "maximum rate of generated tokens");
    static final SettingDefinition<Long> MAX_OPEN_JOBS = team(
            "max-open-jobs",
            SettingTypes.wholeNumber(0, 100_000),
            "jobs",
            "100",
            "maximum number of unfinished batch jobs");
    static final SettingDefinition<Long> MAX_STORED_BYTES = team(
            "max-stored-bytes",
            SettingTypes.wholeNumber(0, 1L << 50),
            "bytes",
            "1073741824",
            "maximum size of all stored bodies and results");
    static final SettingDefinition<Long> BATCH_DEADLINE_MS = team(
            "batch-deadline-ms",
            duration(1),
            "ms",
            "86400000",
            "time from the acceptance of a batch job to its deadline");
    static final SettingDefinition<Long> RESULT_RETENTION_MS =
            team("result-retention-ms", duration(1), "ms", "604800000", "how long results stay readable");
    static final SettingDefinition<Long> MAX_ITEM_ATTEMPTS = team(
            "max-item-attempts",
            SettingTypes.wholeNumber(1, 100),
            "attempts",
            "3",
            "maximum number of attempts before an item fails");

    static final SettingDefinition<ServiceKind> KIND = service(
            "kind",
            SettingTypes.choice(List.of("model", "plain"), SettingKeys::parseKind),
            "",
            "model",
            "whether model engines or plain HTTP servers provide the service");
    static final SettingDefinition<List<RepeatableRoute>> REPEATABLE =
            service("repeatable", SettingTypes.routes(), "", "", "calls of a plain service that may be retried");
    static final SettingDefinition<Long> ATTEMPT_TIMEOUT_MS = service(
            "attempt-timeout-ms",
            duration(1),
            "ms",
            "60000",
            "idle time after which an attempt at a target is aborted");
    static final SettingDefinition<String> VERSION = service(
            "version", SettingTypes.optionalName(), "", "", "version that targets should have loaded; any if empty");
    static final SettingDefinition<Set<String>> ADAPTERS =
            service("adapters", SettingTypes.nameList(), "", "", "additional adapters that targets should have loaded");
    static final SettingDefinition<Long> REPLICAS = service(
            "replicas",
            SettingTypes.wholeNumber(0, 10_000),
            "targets",
            "0",
            "number of targets per region that should have the service loaded; 0 leaves targets unchanged");

    static final SettingDefinition<Long> SLOTS = target(
            "slots",
            SettingTypes.wholeNumber(0, 10_000),
            "requests",
            "0",
            "maximum number of concurrent requests; 0 uses the number that the target reports");
    static final SettingDefinition<Boolean> CHECKS_FENCING = target(
            "checks-fencing",
            SettingTypes.bool(),
            "",
            "false",
            "whether the target rejects orders with an old fencing number");
    static final SettingDefinition<Boolean> DRAINING =
            target("draining", SettingTypes.bool(), "", "false", "whether the target receives no new work");
    static final SettingDefinition<String> ROLE =
            target("role", SettingTypes.name(), "", "mixed", "role that the engine is ordered to assume");

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

    private static SettingType<Long> duration(long minMs) {
        return SettingTypes.wholeNumber(minMs, MAX_DURATION_MS);
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
