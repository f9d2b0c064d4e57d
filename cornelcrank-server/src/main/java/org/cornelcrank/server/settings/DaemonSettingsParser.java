package org.cornelcrank.server.settings;

import java.io.File;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.daemon.RoutingPolicies;
import org.cornelcrank.server.peer.SocketAddresses;

/**
 * Makes {@link DaemonSettings} of flags and environment variables.
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
    private static final int HELP_WIDTH = 110;

    private static final List<ProcessSetting> DECLARED = List.of(
            required("deployment", "name", "name of the deployment; daemons of another one are refused"),
            required("host", "name", "name of this entry host, unique in the deployment"),
            required("region", "name", "region of this host"),
            required("data-centre", "name", "data centre of this host"),
            optional("http-address", "ip:port", "127.0.0.1:8080", "address for callers and operators"),
            optional("peer-address", "ip:port", "127.0.0.1:7080", "address for other daemons, TCP and UDP"),
            optional("seeds", "host=ip:port,...", "", "other daemons to ask at the start"),
            required("log-url", "url", "the platform's log service"),
            required("hosts-url", "url", "the platform's host list"),
            required("shared-key", "text", "secret by which daemons accept each other; better in the environment"),
            optional("operator-key", "id.secret", "", "operator's key that is valid besides those in the settings"),
            required("regions", "name,...", "all regions of the deployment, the same on every host"),
            optional("partitions", "count", "16", "partitions of each region, the same on every host for ever"),
            optional("policy", "name", "prefix-affinity", "choice of target: " + String.join(", ", POLICIES)),
            optional("max-body-bytes", "bytes", "4194304", "longest request body, but for file uploads"),
            optional("max-answer-bytes", "bytes", "8388608", "longest answer that is not streamed"),
            optional(
                    "drain-delay-ms",
                    "ms",
                    "1000",
                    "time from the announcement of a stop to the first check for its end"),
            optional("drain-timeout-ms", "ms", "120000", "longest time that a stop waits for running requests"),
            optional("report-interval-ms", "ms", "250", "time between two load reports of one target"),
            optional("hosts-interval-ms", "ms", "1000", "time between two reads of the host list"),
            optional("tls-certificates", "file", "", "certificate chain, PEM; with --tls-key and --tls-authority"),
            optional("tls-key", "file", "", "private key, PKCS #8 PEM"),
            optional("tls-authority", "file", "", "certificates by which other daemons are checked, PEM"),
            optional("log-format", "name", "text", "format of log lines: " + String.join(", ", LOG_FORMATS)),
            optional("seed", "number", "0", "seed of random choices; 0 takes the start time"));

    private DaemonSettingsParser() {}

    /** Returns all settings in the order of the help. */
    public static List<ProcessSetting> declared() {
        return DECLARED;
    }

    /**
     * Parses settings.
     *
     * @param args the flags
     * @param environment the environment variables
     * @return the settings, or everything that is wrong with them
     */
    public static Result parse(String[] args, Map<String, String> environment) {
        List<String> errors = new ArrayList<>();
        CommandLine line;
        try {
            line = DefaultParser.builder()
                    .setAllowPartialMatching(false)
                    .build()
                    .parse(options(), args);
        } catch (ParseException e) {
            return new Result.Invalid(List.of(e.getMessage()));
        }
        if (line.hasOption("help")) {
            return new Result.HelpAsked(help());
        }
        line.getArgList().forEach(argument -> errors.add("unexpected argument '" + argument + "'"));
        DaemonSettings settings = read(new SettingReader(DECLARED, line::getOptionValue, environment, errors));
        return errors.isEmpty() ? new Result.Valid(settings) : new Result.Invalid(errors);
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
                throw new IllegalArgumentException("must look like host=127.0.0.1:7080,... but held '" + seed + "'");
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
            throw new IllegalArgumentException("must be a file that can be read but was '" + text + "'");
        }
        return file;
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder("h").longOpt("help").desc("show this help").build());
        for (ProcessSetting setting : DECLARED) {
            options.addOption(Option.builder()
                    .longOpt(setting.flag())
                    .hasArg()
                    .argName(setting.argument())
                    .desc(description(setting))
                    .build());
        }
        return options;
    }

    private static String description(ProcessSetting setting) {
        String fallback = setting.required() ? "; required" : "";
        if (!setting.defaultValue().isEmpty()) {
            fallback = "; default " + setting.defaultValue();
        }
        return setting.description() + fallback + " [" + setting.environmentVariable() + "]";
    }

    private static String help() {
        StringWriter text = new StringWriter();
        HelpFormatter formatter = new HelpFormatter();
        formatter.setOptionComparator(null);
        formatter.printHelp(
                new PrintWriter(text, true),
                HELP_WIDTH,
                "cornelcrankd",
                "Serves online and batch inference. Each flag can be given as the environment variable in brackets.",
                options(),
                2,
                2,
                "Exit codes: 0 stopped as asked, 1 could not start, 2 bad settings.",
                true);
        return text.toString();
    }

    private static ProcessSetting required(String flag, String argument, String description) {
        return new ProcessSetting(flag, argument, "", true, description);
    }

    private static ProcessSetting optional(String flag, String argument, String defaultValue, String description) {
        return new ProcessSetting(flag, argument, defaultValue, false, description);
    }

    /** What came of parsing. */
    public sealed interface Result {

        /** The settings are good. */
        record Valid(DaemonSettings settings) implements Result {}

        /** The help was asked for. */
        record HelpAsked(String text) implements Result {}

        /** The settings are bad; each error names the flag and what is allowed. */
        record Invalid(List<String> errors) implements Result {
            public Invalid {
                errors = List.copyOf(errors);
            }
        }
    }
}
