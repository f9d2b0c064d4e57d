package org.cornelcrank.standin;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Stand-in for the platform's log service as described in {@code docs/PLATFORM.md}.
 *
 * <p>Stores records in memory only. A waiting read completes with the next append to its stream. Thread-safe: all state
 * is guarded by one lock, which is held for short computations only.
 */
public final class LogStandIn extends AbstractStandIn {

    private static final int MAX_RECORD_BYTES = 1 << 20;
    private static final long DEFAULT_READ_BYTES = 1 << 20;
    private static final Pattern RECORDS_PATH = Pattern.compile("/log/streams/([A-Za-z0-9._:-]{1,128})/records");

    private final LogSettings settings;
    private final Clock clock;
    private final RateLimit appendRateLimit;
    private final Map<String, LogStream> streams = new HashMap<>();
    private final Map<String, List<Sinks.Empty<Void>>> waitingReaders = new HashMap<>();
    private long appends;
    private long readBytes;

    public LogStandIn(LogSettings settings) {
        this(settings, Clock.systemUTC());
    }

    LogStandIn(LogSettings settings, Clock clock) {
        super(settings.host(), settings.port());
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.appendRateLimit = new RateLimit(settings.appendsPerSecond(), clock.millis());
    }

    /** Returns the number of records appended to all streams. */
    public synchronized long appends() {
        return appends;
    }

    /** Returns the number of payload bytes returned by all reads. */
    public synchronized long readBytes() {
        return readBytes;
    }

    /** Returns the names of all streams. */
    public synchronized List<String> streams() {
        return streams.keySet().stream().sorted().toList();
    }

    @Override
    Mono<StandInResponse> respond(StandInRequest request) {
        Matcher path = RECORDS_PATH.matcher(request.path());
        if (!path.matches()) {
            return Mono.just(StandInResponse.error(404, "no such path: " + request.path()));
        }
        String stream = path.group(1);
        return switch (request.method()) {
            case "POST" -> Mono.just(append(stream, request.body()));
            case "GET" -> read(stream, request);
            default -> Mono.just(StandInResponse.error(405, "method must be GET or POST but was " + request.method()));
        };
    }

    private StandInResponse append(String stream, byte[] payload) {
        if (payload.length > MAX_RECORD_BYTES) {
            return StandInResponse.error(
                    413, "a record must have at most " + MAX_RECORD_BYTES + " bytes but had " + payload.length);
        }
        long offset;
        List<Sinks.Empty<Void>> readersToNotify;
        synchronized (this) {
            long nowMs = clock.millis();
            if (!appendRateLimit.tryTake(1, nowMs)) {
                String retryAfter = Long.toString(appendRateLimit.retryAfterSeconds(nowMs));
                return StandInResponse.error(429, Map.of("Retry-After", retryAfter), "append rate limit reached");
            }
            offset = streams.computeIfAbsent(stream, name -> new LogStream(settings.retentionMs()))
                    .append(payload, nowMs);
            appends++;
            List<Sinks.Empty<Void>> waiting = waitingReaders.remove(stream);
            readersToNotify = waiting == null ? List.of() : waiting;
        }
        readersToNotify.forEach(Sinks.Empty::tryEmitEmpty);
        return StandInResponse.json(201, Map.of("offset", offset));
    }

    private Mono<StandInResponse> read(String stream, StandInRequest request) {
        long from = request.longParameter("from", 0);
        long maxBytes = request.longParameter("max-bytes", DEFAULT_READ_BYTES);
        long waitMs = request.longParameter("wait-ms", 0);
        LogStream.Page page;
        Sinks.Empty<Void> recordsAppended = Sinks.empty();
        synchronized (this) {
            page = readNow(stream, from, maxBytes);
            if (page.records().isEmpty() && waitMs > 0) {
                waitingReaders
                        .computeIfAbsent(stream, name -> new ArrayList<>())
                        .add(recordsAppended);
            }
        }
        if (!page.records().isEmpty() || waitMs <= 0) {
            return Mono.just(toResponse(page));
        }
        return recordsAppended
                .asMono()
                .timeout(Duration.ofMillis(waitMs), Mono.empty())
                .doFinally(signal -> removeReader(stream, recordsAppended))
                .then(Mono.fromSupplier(() -> toResponse(readNow(stream, from, maxBytes))));
    }

    private synchronized void removeReader(String stream, Sinks.Empty<Void> reader) {
        List<Sinks.Empty<Void>> waiting = waitingReaders.get(stream);
        if (waiting != null) {
            waiting.remove(reader);
        }
    }

    private synchronized LogStream.Page readNow(String stream, long from, long maxBytes) {
        LogStream existing = streams.get(stream);
        LogStream.Page page = existing == null
                ? new LogStream.Page(List.of(), Math.max(0, from), 0)
                : existing.read(from, maxBytes, clock.millis());
        page.records().forEach(entry -> readBytes += entry.payload().length);
        return page;
    }

    private static StandInResponse toResponse(LogStream.Page page) {
        Base64.Encoder base64 = Base64.getEncoder();
        List<Map<String, Object>> records = new ArrayList<>();
        for (LogStream.StoredRecord stored : page.records()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("offset", stored.offset());
            fields.put("appendedAtMs", stored.appendedAtMs());
            fields.put("payload", base64.encodeToString(stored.payload()));
            records.add(fields);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("records", records);
        body.put("nextOffset", page.nextOffset());
        body.put("oldestOffset", page.oldestOffset());
        return StandInResponse.json(200, body);
    }
}
