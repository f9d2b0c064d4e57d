package org.cornelcrank.server.settings;

import java.io.File;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.daemon.RoutingPolicies;
import org.cornelcrank.server.peer.SocketAddresses;

/**
 * Parses {@link DaemonSettings} from flags and environment variables.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class DaemonSettingsParser {

    static final List<String> POLICIES = RoutingPolicies.names();
    static final List<String> LOG_FORMATS = List.of("text", "json");

    private static final List<RegionId> NO_REGIONS = List.of(new RegionId("none"));
    private static final int MAX_PARTITIONS = 256;
    private static final int MAX_BYTES = 1 << 30;
    private static final long MAX_DURATION_MS = 3_600_000;

    private static final List<ProcessSetting> DECLARED = List.of(
            ProcessSetting.required(
                    "deployment", "name", "name of the deployment; daemons of other deployments are rejected"),
            ProcessSetting.required("host", "name", "name of this entry host, unique in the deployment"),
            ProcessSetting.required("region", "name", "region of this host"),
            ProcessSetting.required("data-centre", "name", "data centre of this host"),
            ProcessSetting.optional("http-address", "ip:port", "127.0.0.1:8080", "address for callers and operators"),
            ProcessSetting.optional(
                    "peer-address", "ip:port", "127.0.0.1:7080", "address for peer daemons, TCP and UDP"),
            ProcessSetting.optional("seeds", "host=ip:port,...", "", "peer daemons to contact at startup"),
            ProcessSetting.required("log-url", "url", "the platform's log service"),
            ProcessSetting.required("hosts-url", "url", "the platform's host list"),
            ProcessSetting.required(
                    "shared-key",
                    "text",
                    "secret with which daemons authenticate each other; preferably set in the environment"),
            ProcessSetting.optional(
                    "operator-key", "id.secret", "", "operator key that is valid in addition to those in the settings"),
            ProcessSetting.required("regions", "name,...", "all regions of the deployment, the same on every host"),
            ProcessSetting.optional(
                    "partitions",
                    "count",
                    "16",
                    "partitions of each region; must be the same on every host and never change"),
            ProcessSetting.optional(
                    "policy", "name", "prefix-affinity", "target selection policy: " + String.join(", ", POLICIES)),
            ProcessSetting.optional(
                    "max-body-bytes", "bytes", "4194304", "maximum size of a request body, except for file uploads"),
            ProcessSetting.optional(
                    "max-answer-bytes", "bytes", "8388608", "maximum size of a response that is not streamed"),
            ProcessSetting.optional(
                    "drain-delay-ms",
                    "ms",
                    "1000",
                    "how long a stopping daemon still accepts requests that can end in time"),
            ProcessSetting.optional(
                    "drain-timeout-ms", "ms", "120000", "further time that a stop waits for open requests"),
            ProcessSetting.optional("report-interval-ms", "ms", "250", "time between two load reports of one target"),
            ProcessSetting.optional("hosts-interval-ms", "ms", "1000", "time between two reads of the host list"),
            ProcessSetting.optional(
                    "tls-certificates", "file", "", "certificate chain, PEM; with --tls-key and --tls-authority"),
            ProcessSetting.optional("tls-key", "file", "", "private key, PKCS #8 PEM"),
            ProcessSetting.optional(
                    "tls-authority", "file", "", "CA certificates with which peer daemons are verified, PEM"),
            ProcessSetting.optional(
                    "log-format", "name", "text", "format of log lines: " + String.join(", ", LOG_FORMATS)),
            ProcessSetting.optional("seed", "number", "0", "seed of random choices; 0 uses the start time"));

    private static final CommandLineSettings COMMAND_LINE =
            new CommandLineSettings("cornelcrankd", "Serves online and batch inference.", DECLARED);

    private DaemonSettingsParser() {}

    /** Returns all settings, in the order of the help text. */
    public static List<ProcessSetting> declared() {
        return DECLARED;
    }

    /**
     * Parses settings.
     *
     * @param args the command line arguments
     * @param environment the environment variables
     * @return the settings, or all errors in them
     */
    public static SettingsResult<DaemonSettings> parse(String[] args, Map<String, String> environment) {
        return COMMAND_LINE.parse(args, environment, DaemonSettingsParser::read);
    }

    private static DaemonSettings read(SettingReader reader) {
        List<RegionId> regions = reader.parsed("regions", "none", DaemonSettingsParser::parseRegions);
        RegionId region = reader.parsed("region", "none", RegionId::new);
        if (!regions.equals(NO_REGIONS) && !regions.contains(region)) {
            reader.error("region", "must be one of --regions " + regions + " but was '" + region + "'");
        }
        return new DaemonSettings(
                reader.parsed("deployment", "none", text -> Names.requireName(text, "deployment")),
                reader.parsed("host", "none", HostId::new),
                new Location(region, reader.parsed("data-centre", "none", DataCentreId::new)),
                reader.parsed("http-address", "127.0.0.1:0", SocketAddresses::parse),
                reader.parsed("peer-address", "127.0.0.1:0", SocketAddresses::parse),
                reader.optional("seeds", DaemonSettingsParser::parseSeeds).orElse(Map.of()),
                reader.url("log-url"),
                reader.url("hosts-url"),
                reader.text("shared-key"),
                reader.optional("operator-key", DaemonSettingsParser::requireKey),
                regions,
                (int) reader.number("partitions", 1, MAX_PARTITIONS),
                reader.oneOf("policy", POLICIES),
                (int) reader.number("max-body-bytes", 1, MAX_BYTES),
                (int) reader.number("max-answer-bytes", 1, MAX_BYTES),
                reader.number("drain-delay-ms", 0, MAX_DURATION_MS),
                reader.number("drain-timeout-ms", 0, MAX_DURATION_MS),
                reader.number("report-interval-ms", 1, MAX_DURATION_MS),
                reader.number("hosts-interval-ms", 1, MAX_DURATION_MS),
                readTls(reader),
                reader.oneOf("log-format", LOG_FORMATS),
                reader.number("seed", 0, Long.MAX_VALUE));
    }

    private static Optional<DaemonSettings.TlsFiles> readTls(SettingReader reader) {
        Optional<File> certificates = reader.optional("tls-certificates", DaemonSettingsParser::requireFile);
        Optional<File> privateKey = reader.optional("tls-key", DaemonSettingsParser::requireFile);
        Optional<File> authority = reader.optional("tls-authority", DaemonSettingsParser::requireFile);
        if (certificates.isPresent() && privateKey.isPresent() && authority.isPresent()) {
            return Optional.of(new DaemonSettings.TlsFiles(certificates.get(), privateKey.get(), authority.get()));
        }
        if (certificates.isPresent() || privateKey.isPresent() || authority.isPresent()) {
            reader.error("tls-certificates", "must be given together with --tls-key and --tls-authority");
        }
        return Optional.empty();
    }

    private static List<RegionId> parseRegions(String text) {
        return Stream.of(text.split(","))
                .map(String::strip)
                .map(RegionId::new)
                .distinct()
                .toList();
    }

    private static Map<HostId, String> parseSeeds(String text) {
        Map<HostId, String> seeds = new TreeMap<>();
        for (String seed : text.split(",")) {
            String[] parts = seed.strip().split("=", 2);
            if (parts.length != 2) {
                throw new IllegalArgumentException(
                        "must look like host=127.0.0.1:7080,... but contained '" + seed + "'");
            }
            seeds.put(new HostId(parts[0]), SocketAddresses.format(SocketAddresses.parse(parts[1])));
        }
        return seeds;
    }

    private static String requireKey(String text) {
        if (text.indexOf('.') <= 0 || text.endsWith(".")) {
            throw new IllegalArgumentException("must look like id.secret");
        }
        return text;
    }

    private static File requireFile(String text) {
        File file = new File(text);
        if (!file.canRead()) {
            throw new IllegalArgumentException("must be a readable file but was '" + text + "'");
        }
        return file;
    }
}
