package org.cornelcrank.server.settings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.server.peer.SocketAddresses;

/**
 * Parses {@link GatewaySettings} from flags and environment variables.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class GatewaySettingsParser {

    private static final int MAX_PARTITIONS = 256;
    private static final int MAX_BYTES = 1 << 30;
    private static final int MAX_MEMORY_PERCENT = 50;
    private static final long MAX_DURATION_MS = 3_600_000;

    private static final List<ProcessSetting> DECLARED = List.of(
            ProcessSetting.required(
                    "deployment", "name", "name of the deployment; daemons of other deployments are rejected"),
            ProcessSetting.required("host", "name", "name of this entry host, unique in the deployment"),
            ProcessSetting.required("data-centre", "name", "data centre of this host, one of --data-centres"),
            ProcessSetting.required("data-centres", "json", "the region of each data centre, {\"dc-a\":\"region-1\"}"),
            ProcessSetting.required("front-address", "ip:port", "address for callers"),
            ProcessSetting.required("readiness-address", "ip:port", "address for the load balancer's readiness checks"),
            ProcessSetting.required("peer-address", "ip:port", "address for peer daemons, TCP and UDP"),
            ProcessSetting.optional("metrics-address", "ip:port", "", "address for metrics and dumps; none if empty"),
            ProcessSetting.required("store-address", "ip:port", "the platform's store"),
            ProcessSetting.optional("store-partitions", "count", "12", "partitions of each topic; must never change"),
            ProcessSetting.optional("store-record-bytes", "bytes", "262144", "maximum size of a record in the store"),
            ProcessSetting.optional(
                    "store-request-bytes", "bytes", "2097152", "maximum total size of the records in one append"),
            ProcessSetting.required("shared-key", "text", "secret with which daemons authenticate each other"),
            ProcessSetting.optional(
                    "policy",
                    "name",
                    "least-loaded",
                    "target selection policy: " + String.join(", ", DaemonSettingsParser.POLICIES)),
            ProcessSetting.optional(
                    "drain-delay-ms",
                    "ms",
                    "3000",
                    "how long a stopping daemon still accepts requests that can end in time"),
            ProcessSetting.optional(
                    "drain-timeout-ms", "ms", "4400", "further time that a stop waits for open requests"),
            ProcessSetting.optional("job-retention-ms", "ms", "120000", "how long results stay readable"),
            ProcessSetting.optional(
                    "response-memory-percent",
                    "percent",
                    "25",
                    "part of the maximum heap, 1 to 50, that unfinished responses of targets may hold"),
            ProcessSetting.optional(
                    "request-memory-percent",
                    "percent",
                    "20",
                    "part of the maximum heap, 1 to 50, that bodies of requests may hold"),
            ProcessSetting.optional(
                    "log-format",
                    "name",
                    "json",
                    "format of log lines: " + String.join(", ", DaemonSettingsParser.LOG_FORMATS)),
            ProcessSetting.optional("seed", "number", "0", "seed of random choices; 0 uses the start time"));

    private static final CommandLineSettings COMMAND_LINE = new CommandLineSettings(
            "cornelcrankd gateway",
            "Serves the callers of a platform that keeps all durable state in its store.",
            DECLARED);

    private GatewaySettingsParser() {}

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
    public static SettingsResult<GatewaySettings> parse(String[] args, Map<String, String> environment) {
        return COMMAND_LINE.parse(args, environment, GatewaySettingsParser::read);
    }

    private static GatewaySettings read(SettingReader reader) {
        Map<DataCentreId, RegionId> dataCentres =
                reader.parsed("data-centres", "{}", GatewaySettingsParser::parseDataCentres);
        DataCentreId dataCentre = reader.parsed("data-centre", "none", DataCentreId::new);
        RegionId region = dataCentres.get(dataCentre);
        if (region == null) {
            reader.error("data-centre", "must be one of --data-centres " + dataCentres.keySet());
            region = new RegionId("none");
        }
        return new GatewaySettings(
                reader.parsed("deployment", "none", text -> Names.requireName(text, "deployment")),
                reader.parsed("host", "none", HostId::new),
                new Location(region, dataCentre),
                dataCentres,
                reader.parsed("front-address", "127.0.0.1:0", SocketAddresses::parse),
                reader.parsed("readiness-address", "127.0.0.1:0", SocketAddresses::parse),
                reader.parsed("peer-address", "127.0.0.1:0", SocketAddresses::parse),
                reader.optional("metrics-address", SocketAddresses::parse),
                reader.parsed("store-address", "127.0.0.1:1", SocketAddresses::parse),
                (int) reader.number("store-partitions", 1, MAX_PARTITIONS),
                (int) reader.number("store-record-bytes", 1, MAX_BYTES),
                (int) reader.number("store-request-bytes", 1, MAX_BYTES),
                reader.text("shared-key"),
                reader.oneOf("policy", DaemonSettingsParser.POLICIES),
                reader.number("drain-delay-ms", 0, MAX_DURATION_MS),
                reader.number("drain-timeout-ms", 0, MAX_DURATION_MS),
                reader.number("job-retention-ms", 1, MAX_DURATION_MS),
                (int) reader.number("response-memory-percent", 1, MAX_MEMORY_PERCENT),
                (int) reader.number("request-memory-percent", 1, MAX_MEMORY_PERCENT),
                reader.oneOf("log-format", DaemonSettingsParser.LOG_FORMATS),
                reader.number("seed", 0, Long.MAX_VALUE));
    }

    private static Map<DataCentreId, RegionId> parseDataCentres(String text) {
        Map<String, String> names;
        try {
            names = new ObjectMapper().readValue(text, new TypeReference<>() {});
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "must be a JSON object of region names by data centre but was '" + text + "'", e);
        }
        Map<DataCentreId, RegionId> regions = new TreeMap<>();
        List<String> invalid = new ArrayList<>();
        names.forEach((dataCentre, region) -> {
            if (Names.isName(dataCentre) && Names.isName(region)) {
                regions.put(new DataCentreId(dataCentre), new RegionId(region));
            } else {
                invalid.add(dataCentre + "=" + region);
            }
        });
        if (!invalid.isEmpty()) {
            throw new IllegalArgumentException("must contain only valid names but contained " + invalid);
        }
        return regions;
    }
}
