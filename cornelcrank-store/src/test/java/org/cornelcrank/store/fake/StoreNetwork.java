package org.cornelcrank.store.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;

/**
 * The links between daemons and the store, with the time limits of the store's clients.
 *
 * <p>A page is encoded in base64, a read is not. A response that exceeds its client's time limit is given up, and the
 * rest of it is not transferred. Not thread-safe.
 */
public final class StoreNetwork {

    private static final long RESPONSE_TIMEOUT_MS = 1_500;
    private static final long PAGE_TIMEOUT_MS = 8_000;
    private static final long PAGE_STALL_MS = 2_500;

    private static final int MESSAGE_BYTES = 300;
    private static final int RECORD_BYTES = 80;
    private static final int SEGMENT_BYTES = 1_460;

    /** What arrives of a page after its client has ended the transfer. */
    private static final int IN_FLIGHT_BYTES = 32 * 1_024;

    /** What of a response passes the store's own limit before the rest of it does. */
    private static final long CHUNK_BYTES = 64 * 1_024;

    private static final long WINDOW_MS = 1_000;

    private final VirtualNodes nodes;
    private final Map<HostId, Route> routes = new HashMap<>();
    private final Set<HostId> cut = new HashSet<>();
    private final Map<HostId, Set<Exchange>> exchanges = new HashMap<>();
    private Optional<ReadLimits> readLimits = Optional.empty();
    private long windowStartedAtMs;
    private int callsInWindow;
    private long readCalls;
    private long refusedReads;
    private long responseBytes;

    public StoreNetwork(VirtualNodes nodes) {
        this.nodes = nodes;
    }

    /** Sets the links of a daemon to and from the store; a link may be shared by daemons. */
    public void connect(HostId host, Route route) {
        routes.put(host, route);
    }

    /** Loses all messages between a daemon and the store until {@link #restore}. */
    public void cut(HostId host) {
        cut.add(host);
    }

    public void restore(HostId host) {
        cut.remove(host);
    }

    /** Loses the responses to all requests that the store has got until now. */
    public void loseOpenResponses() {
        exchanges.values().stream().flatMap(Set::stream).forEach(exchange -> exchange.lost = true);
    }

    /** Limits the reads of all daemons together, from now on. */
    public void limitReads(ReadLimits limits) {
        readLimits = Optional.of(limits);
    }

    /** Returns the number of calls that read, refused ones included. */
    public long readCalls() {
        return readCalls;
    }

    /** Returns the number of calls that were refused because of the limit of reads. */
    public long refusedReads() {
        return refusedReads;
    }

    /** Returns the bytes of responses that the store has sent, as far as they have been transferred. */
    public long responseBytes() {
        long open = exchanges.values().stream()
                .flatMap(Set::stream)
                .mapToLong(Exchange::passedBytes)
                .sum();
        return responseBytes + open;
    }

    /** Returns the size of a page of these records on the wire. */
    public static long pageBytes(Iterable<StoreResponse.StoredRecord> records) {
        long bytes = MESSAGE_BYTES;
        for (StoreResponse.StoredRecord record : records) {
            bytes += RECORD_BYTES + record.key().length() + (record.value().size() + 2L) / 3 * 4;
        }
        return bytes;
    }

    /** Closes all connections of a daemon. */
    void disconnect(HostId host) {
        Set.copyOf(exchanges.getOrDefault(host, Set.of())).forEach(Exchange::end);
    }

    /**
     * Sends a request; the listener receives the store's response, or that there is none within the time limit.
     *
     * @return what ends the transfer of the response
     */
    Runnable call(HostId host, StoreRequest request, Handler handler, Consumer<StoreResponse> listener) {
        Exchange exchange = new Exchange(host, listener);
        exchanges.computeIfAbsent(host, key -> new HashSet<>()).add(exchange);
        nodes.later(timeoutMs(request), exchange::timeOut);
        if (request instanceof StoreRequest.ReadNewest) {
            nodes.later(PAGE_STALL_MS, () -> {
                if (exchange.passedBytes() < SEGMENT_BYTES) {
                    exchange.timeOut();
                }
            });
        }
        Route route = routes.get(host);
        route.up()
                .send(
                        requestBytes(request),
                        () -> nodes.later(route.latencyMs() + VirtualNodes.STORE_MS, () -> {
                            if (!cut.contains(host)) {
                                arrive(request, handler, response -> exchange.respond(route, response));
                            }
                        }));
        return exchange::end;
    }

    private void arrive(StoreRequest request, Handler handler, Consumer<StoreResponse> response) {
        boolean reads = request instanceof StoreRequest.Read || request instanceof StoreRequest.ReadNewest;
        if (reads && refusesRead()) {
            refusedReads++;
            response.accept(new StoreResponse.NotDone("status 429"));
        } else {
            handler.handle(request, response);
        }
    }

    private boolean refusesRead() {
        readCalls++;
        if (readLimits.isEmpty()) {
            return false;
        }
        ReadLimits limits = readLimits.get();
        if (nodes.nowMs() - windowStartedAtMs >= WINDOW_MS) {
            windowStartedAtMs = nodes.nowMs();
            callsInWindow = 0;
        }
        return ++callsInWindow > limits.callsPerSecond();
    }

    private static long timeoutMs(StoreRequest request) {
        if (request instanceof StoreRequest.ReadNewest) {
            return PAGE_TIMEOUT_MS;
        }
        if (request instanceof StoreRequest.Append append) {
            return append.timeoutMs();
        }
        return RESPONSE_TIMEOUT_MS + (request instanceof StoreRequest.Read read ? read.waitMs() : 0);
    }

    private static long requestBytes(StoreRequest request) {
        long bytes = MESSAGE_BYTES;
        if (request instanceof StoreRequest.Append append) {
            for (KeyedRecord record : append.records()) {
                bytes += RECORD_BYTES + record.key().length() + record.value().size();
            }
        }
        return bytes;
    }

    private static long responseBytes(StoreResponse response) {
        if (response instanceof StoreResponse.Newest page) {
            return pageBytes(page.records()) + (page.end() < 0 ? IN_FLIGHT_BYTES : 0);
        }
        long bytes = MESSAGE_BYTES;
        List<StoreResponse.StoredRecord> records =
                response instanceof StoreResponse.Records read ? read.records() : List.of();
        for (StoreResponse.StoredRecord record : records) {
            bytes += RECORD_BYTES + record.key().length() + record.value().size();
        }
        return bytes;
    }

    /** What the store serves of reads: calls within a second, and a link that all responses share. */
    public record ReadLimits(int callsPerSecond, SharedLink link) {}

    /** The links of a daemon to and from the store, and the latency of one way. */
    public record Route(SharedLink up, SharedLink down, long latencyMs) {}

    /** Handles a request at the store, and passes its response on once there is one. */
    interface Handler {
        void handle(StoreRequest request, Consumer<StoreResponse> response);
    }

    private final class Exchange {

        private final HostId host;
        private final Consumer<StoreResponse> listener;
        private Optional<Route> route = Optional.empty();
        private Optional<SharedLink.Transfer> fromStore = Optional.empty();
        private Optional<SharedLink.Transfer> toHost = Optional.empty();
        private long unsentBytes;
        private long waitingBytes;
        private long arrivedBytes;
        private StoreResponse expected = new StoreResponse.Done();
        private long totalBytes;
        private boolean ended;
        private boolean lost;

        Exchange(HostId host, Consumer<StoreResponse> listener) {
            this.host = host;
            this.listener = listener;
        }

        void respond(Route way, StoreResponse response) {
            if (ended || lost) {
                return;
            }
            expected = response;
            route = Optional.of(way);
            totalBytes = responseBytes(response);
            unsentBytes = totalBytes;
            sendChunk();
        }

        /** Lets the next bytes pass the store's limit while those before them pass the daemon's link. */
        private void sendChunk() {
            if (readLimits.isEmpty()) {
                long bytes = unsentBytes;
                unsentBytes = 0;
                passStore(bytes);
            } else if (unsentBytes > 0 && waitingBytes == 0 && fromStore.isEmpty()) {
                long bytes = Math.min(CHUNK_BYTES, unsentBytes);
                unsentBytes -= bytes;
                fromStore = Optional.of(readLimits.get().link().send(bytes, () -> {
                    fromStore = Optional.empty();
                    passStore(bytes);
                }));
            }
        }

        private void passStore(long bytes) {
            if (toHost.isPresent()) {
                waitingBytes = bytes;
                return;
            }
            toHost = Optional.of(route.orElseThrow().down().send(bytes, () -> passLink(bytes)));
            if (readLimits.isPresent()) {
                sendChunk();
            }
        }

        private void passLink(long bytes) {
            toHost = Optional.empty();
            arrivedBytes += bytes;
            if (arrivedBytes == totalBytes) {
                nodes.later(route.orElseThrow().latencyMs(), this::arrived);
            } else if (waitingBytes > 0) {
                long next = waitingBytes;
                waitingBytes = 0;
                passStore(next);
            }
        }

        private void arrived() {
            if (!ended && !lost && !cut.contains(host)) {
                end();
                listener.accept(expected);
            }
        }

        long passedBytes() {
            return arrivedBytes
                    + toHost.map(transfer -> (long) route.orElseThrow().down().passedBytes(transfer))
                            .orElse(0L);
        }

        void timeOut() {
            if (!ended) {
                StoreResponse received = received();
                end();
                listener.accept(received);
            }
        }

        /** Returns the records of a page that have passed the link, as a shorter page. */
        private StoreResponse received() {
            List<StoreResponse.StoredRecord> records = new ArrayList<>();
            if (expected instanceof StoreResponse.Newest page) {
                for (StoreResponse.StoredRecord record : page.records()) {
                    records.add(record);
                    if (pageBytes(records) > passedBytes()) {
                        records.remove(records.size() - 1);
                        break;
                    }
                }
            }
            return records.isEmpty()
                    ? new StoreResponse.Unknown("no response within the time limit")
                    : new StoreResponse.Newest(records, true, -1);
        }

        void end() {
            if (!ended) {
                responseBytes += passedBytes();
                ended = true;
                fromStore.ifPresent(transfer -> readLimits.orElseThrow().link().close(transfer));
                toHost.ifPresent(transfer -> route.orElseThrow().down().close(transfer));
                exchanges.get(host).remove(this);
            }
        }
    }
}
