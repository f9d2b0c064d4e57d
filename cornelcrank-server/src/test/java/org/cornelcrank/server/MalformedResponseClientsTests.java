package org.cornelcrank.server;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.OrderOutcome;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StreamName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetOrder;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.platform.HostListPoller;
import org.cornelcrank.server.platform.HttpLogClient;
import org.cornelcrank.server.target.TargetWatcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.Disposable;

import static org.assertj.core.api.Assertions.assertThat;

/** Sends malformed responses to the clients of the log, the host list and the targets' interfaces for operation. */
class MalformedResponseClientsTests {

    private static final long HANG_LIMIT_S = 30;
    private static final TargetId TARGET = new TargetId("target");
    private static final StreamName STREAM = new StreamName("stream");
    private static final Duration INTERVAL = Duration.ofMillis(5);

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final ObjectMapper json = new ObjectMapper();
    private final CoreLoop loop = new CoreLoop(
            new DaemonCore(List.of(new EventRecorder(events)), new DecisionJournal(1, 1), dispatch -> {}),
            new MonotonicClock(),
            metrics);
    private RawRunnerStandIn server;

    @BeforeEach
    void start() throws IOException {
        server = new RawRunnerStandIn("raw", (request, response) -> {});
    }

    @AfterEach
    void stop() {
        loop.stop();
        server.close();
    }

    /** Guards against a log record that counts as not appended although the log may hold it. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 X\r\n", "HTTP/1.1 1000 X\r\n", "HTTP/1.1 400 X\r\nX Y: 1\r\n"})
    void appendWithAMalformedResponseMayHaveTakenEffect(String head) throws Exception {
        respond(head, "");
        new HttpLogClient("http://" + server.address(), loop, json, metrics)
                .run(new Effect.Append(STREAM, 1, ByteString.copyFromUtf8("record")));
        assertThat(next(Event.AppendFailed.class).mayHaveTakenEffect()).isTrue();
    }

    /** Guards against the same if a status is valid and not defined for the call. */
    @ParameterizedTest
    @ValueSource(ints = {200, 204, 302, 500, 502, 504})
    void appendWithAnUndefinedStatusMayHaveTakenEffect(int status) throws Exception {
        respond("HTTP/1.1 " + status + " X\r\n", "");
        new HttpLogClient("http://" + server.address(), loop, json, metrics)
                .run(new Effect.Append(STREAM, 1, ByteString.copyFromUtf8("record")));
        assertThat(next(Event.AppendFailed.class).mayHaveTakenEffect()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 413, 429, 503})
    void refusedAppendHasNotTakenEffect(int status) throws Exception {
        respond("HTTP/1.1 " + status + " X\r\n", "");
        new HttpLogClient("http://" + server.address(), loop, json, metrics)
                .run(new Effect.Append(STREAM, 1, ByteString.copyFromUtf8("record")));
        assertThat(next(Event.AppendFailed.class).mayHaveTakenEffect()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                "HTTP/1.1 0200 OK\r\n",
                "HTTP/9.9 200 OK\r\n"
            })
    void malformedPageOfTheLogIsNotRead(String head) throws Exception {
        respond(head, "{\"records\":[],\"nextOffset\":7,\"oldestOffset\":0}");
        new HttpLogClient("http://" + server.address(), loop, json, metrics)
                .run(new Effect.ReadLog(STREAM, "test", 0, 1_000, 0));
        next(Event.LogReadFailed.class);
    }

    /** Guards against hosts that count as gone as a response is cut. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length Y: 12\r\n",
                "HTTP/1.1 200 OK\r\n X: 1\r\n",
                "HTTP/1.1 304\t\r\n"
            })
    void malformedHostListIsNotRead(String head) throws Exception {
        respond(head, "{\"hosts\":[]}");
        Disposable polling = new HostListPoller("http://" + server.address(), INTERVAL, loop, json, metrics).start();
        GatewayFleet.await(() -> metrics.counter("hosts.read-failures").getCount() > 1);
        polling.dispose();
        assertThat(events).isEmpty();
    }

    /** Guards against a target whose load is believed although its response is corrupt. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 OK\r\nX\u0001Y: 1\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1  200 OK\r\n"})
    void malformedReportOfATargetIsNotBelieved(String head) throws Exception {
        respond(
                head,
                "{\"measuredAtMs\":1,\"slots\":8,\"running\":0,\"queued\":0,\"loaded\":[],\"leaving\":true,"
                        + "\"fencingNumber\":0}");
        TargetWatcher watcher = new TargetWatcher(INTERVAL, loop, json, metrics);
        watcher.run(new Effect.WatchTargets(Map.of(TARGET, server.address())));
        Event first = events.poll(HANG_LIMIT_S, TimeUnit.SECONDS);
        watcher.stop();
        assertThat(first).isEqualTo(new Event.TargetUnreachable(TARGET, false));
    }

    /** Guards against an order that counts as refused, or as done, although the target's response says nothing. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 409 X\r\nX Y: 1\r\n"})
    void outcomeOfAnOrderWithAMalformedResponseIsUnknown(String head) throws Exception {
        respond(head, "");
        new TargetWatcher(INTERVAL, loop, json, metrics)
                .run(new Effect.Order(TARGET, server.address(), 1, new TargetOrder("both", Set.of("m"), 1)));
        assertThat(next(Event.OrderEnded.class).outcome()).isEqualTo(OrderOutcome.UNKNOWN);
    }

    /** Writes the head with a further field, and the body, which ends with the connection. */
    private void respond(String head, String body) {
        server.setScript((request, response) -> {
            response.write(head + "Connection: close\r\n\r\n" + body);
            response.end();
        });
    }

    private <T extends Event> T next(Class<T> type) throws InterruptedException {
        Event event = events.poll(HANG_LIMIT_S, TimeUnit.SECONDS);
        assertThat(event).isInstanceOf(type);
        return type.cast(event);
    }

    private record EventRecorder(BlockingQueue<Event> events) implements StateMachine {

        @Override
        public String name() {
            return "recorder";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            events.add(event);
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}
    }
}
