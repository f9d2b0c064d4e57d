package org.cornelcrank.server.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import com.codahale.metrics.Counter;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.platform.fake.LinkFault;
import org.cornelcrank.platform.fake.LinkProxy;
import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Script;
import org.cornelcrank.server.peer.PeerTransport;
import org.cornelcrank.server.peer.SocketAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests attempts that a peer relays to a target, over real sockets. */
class RelayedAttemptsEndToEndTests {

    private static final long HANG_LIMIT_S = 30;
    private static final TargetId TARGET = new TargetId("raw");
    private static final TargetId OTHER = new TargetId("other");

    /** Nothing listens there: this daemon must not connect to the target itself. */
    private static final String OUT_OF_REACH = "127.0.0.1:9";

    private static final Optional<HostId> RELAY = Optional.of(RelayedAttempts.RELAY);
    private static final String LONG_BODY = body(1_000_000);
    /** More than a busy machine needs for a first connection. */
    private static final long RELAY_TIMEOUT_MS = 10_000;

    private static final long HOLD_MS = 300;
    private static final int OTHER_REQUESTS = 30;
    private static final int STREAM_EVENTS = 300;

    /** More bytes than the sockets' buffers on the way to the target take. */
    private static final int MORE_THAN_BUFFERS = 24 * 1024 * 1024;

    private static final String EVENTS = "id: 1\ndata: first\n\nid: 2\ndata: last\n\n";

    private final RelayedAttempts attempts = new RelayedAttempts(RELAY_TIMEOUT_MS);
    private final CountDownLatch released = new CountDownLatch(1);
    private RawRunnerStandIn runner;

    @BeforeEach
    void start() throws IOException {
        runner =
                new RawRunnerStandIn("raw", (request, response) -> response.whole(request, new String(request.body())));
        attempts.relayDirectory.put(TARGET, runner.address());
    }

    @AfterEach
    void stop() {
        released.countDown();
        attempts.close();
        runner.close();
    }

    private static String body(int length) {
        StringBuilder body = new StringBuilder(length);
        for (int i = 0; i < length; i++) {
            body.append((char) ('a' + i % 23 * 7 % 26));
        }
        return body.toString();
    }

    static Stream<Arguments> framings() {
        return Stream.of(
                Arguments.of("length", (Script) (request, response) -> response.whole(request, LONG_BODY)),
                Arguments.of("chunks", (Script) (request, response) -> {
                    response.head(request, "Transfer-Encoding: chunked\r\n");
                    int half = LONG_BODY.length() / 2;
                    response.write(Integer.toHexString(half) + "\r\n" + LONG_BODY.substring(0, half) + "\r\n");
                    response.write(Integer.toHexString(LONG_BODY.length() - half) + "\r\n" + LONG_BODY.substring(half)
                            + "\r\n0\r\n\r\n");
                }),
                Arguments.of("close", (Script) (request, response) -> {
                    response.head(request, "Connection: close\r\n");
                    response.write(LONG_BODY);
                    response.end();
                }));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("framings")
    void bytesOfARelayedResponseArriveUnchanged(String name, Script script) throws Exception {
        attempts.startRelay();
        runner.setScript(script);
        GatewayCall call = attempts.call("a", "x");
        AttemptId attempt = attempts.dispatch(call, TARGET, OUT_OF_REACH, RELAY);
        assertThat(attempts.outcome(attempt)).isInstanceOf(AttemptOutcome.Succeeded.class);
        assertThat(new String(call.held().body(), StandardCharsets.ISO_8859_1)).isEqualTo(LONG_BODY);
    }

    @Test
    void bytesOfARelayedRequestArriveUnchanged() throws Exception {
        attempts.startRelay();
        GatewayCall call = attempts.call("a", LONG_BODY);
        AttemptId attempt = attempts.dispatch(call, TARGET, OUT_OF_REACH, RELAY);
        assertThat(attempts.outcome(attempt)).isInstanceOf(AttemptOutcome.Succeeded.class);
        assertThat(new String(call.held().body(), StandardCharsets.ISO_8859_1)).isEqualTo(LONG_BODY);
    }

    @Test
    void targetReceivesTheSameHeadAsFromADirectConnectionButForTheTimeThatIsLeft() throws Exception {
        attempts.startRelay();
        List<Long> told = new CopyOnWriteArrayList<>();
        runner.setScript((request, response) -> {
            told.add(Long.valueOf(request.headers().replace("deadline-ms", "left")));
            response.whole(request, request.line() + request.headers());
        });
        GatewayCall direct = attempts.call("a", "x");
        attempts.outcome(attempts.dispatch(direct, TARGET, runner.address(), Optional.empty()));
        GatewayCall relayed = attempts.call("a", "x");
        attempts.outcome(attempts.dispatch(relayed, TARGET, OUT_OF_REACH, RELAY));
        assertThat(relayed.held().body()).isEqualTo(direct.held().body());
        assertThat(told).hasSize(2).allMatch(leftMs -> leftMs > 0 && leftMs <= RelayedAttempts.TIMEOUT_MS);
    }

    /** Guards against a target that is told more time than is left, as opening its connection took some of it. */
    @Test
    void targetIsToldTheTimeThatIsLeftOnceItsRelayedConnectionIsOpen() throws Exception {
        attempts.startRelay();
        BlockingQueue<Long> told = recordToldTimes();
        LinkFault silent = new LinkFault(LinkFault.Kind.SOUND, LinkFault.Kind.SILENT);
        try (LinkProxy link = new LinkProxy(SocketAddresses.parse(attempts.peers.get(RelayedAttempts.RELAY)))) {
            attempts.peers.put(RelayedAttempts.RELAY, SocketAddresses.format(link.address()));
            link.begin(silent);
            attempts.dispatch(attempts.call("a", "x"), TARGET, OUT_OF_REACH, RELAY);
            long heldMs = hold();
            link.end(silent);
            assertThat(told.poll(HANG_LIMIT_S, TimeUnit.SECONDS)).isBetween(1L, RelayedAttempts.TIMEOUT_MS - heldMs);
        }
    }

    /** Guards against a target that is told more time than is left, as its request waited for a connection. */
    @Test
    void targetIsToldTheTimeThatIsLeftOnceAConnectionOfThePoolIsFree() throws Exception {
        BlockingQueue<Long> told = recordToldTimes();
        for (int i = 1; i <= TargetConnections.MAX_CONNECTIONS_PER_TARGET; i++) {
            int dispatched = i;
            attempts.dispatch(attempts.call("held-" + i, "x"), TARGET, runner.address(), Optional.empty());
            await(() -> runner.requests() == dispatched);
        }
        attempts.dispatch(attempts.call("a", "x"), TARGET, runner.address(), Optional.empty());
        long heldMs = hold();
        released.countDown();
        assertThat(told.poll(HANG_LIMIT_S, TimeUnit.SECONDS)).isBetween(1L, RelayedAttempts.TIMEOUT_MS - heldMs);
    }

    /** Records the time that the target is told for the request with the id a; others are held until released. */
    private BlockingQueue<Long> recordToldTimes() {
        BlockingQueue<Long> told = new LinkedBlockingQueue<>();
        runner.setScript((request, response) -> {
            if (request.id().equals("a")) {
                told.add(Long.valueOf(request.headers().get("deadline-ms")));
            } else {
                released.await();
            }
            response.whole(request, "");
        });
        return told;
    }

    /** Lets some time pass, and returns how much at least. */
    private long hold() {
        long fromMs = attempts.clock.nowMs();
        await(() -> attempts.clock.nowMs() >= fromMs + HOLD_MS);
        return attempts.clock.nowMs() - fromMs;
    }

    @Test
    void eventsOfARelayedStreamArrive() throws Exception {
        attempts.startRelay();
        runner.setScript((request, response) -> {
            response.head(request, "Content-Type: text/event-stream\r\nConnection: close\r\n");
            response.write(EVENTS);
            response.end();
        });
        AttemptId attempt = attempts.dispatch(RelayedAttempts.item("a"), TARGET, OUT_OF_REACH, RELAY);
        AttemptOutcome.Succeeded succeeded = (AttemptOutcome.Succeeded) attempts.outcome(attempt);
        assertThat(succeeded.body().toStringUtf8()).isEqualTo("first\nlast");
    }

    /** Guards against half a body that is taken for a whole one, as its end is the end of the connection. */
    @Test
    void relayThatEndsInABodyUntilCloseDoesNotMakeItLookComplete() throws Exception {
        PeerTransport relay = attempts.startRelay();
        runner.setScript((request, response) -> {
            response.head(request, "Connection: close\r\n");
            response.write("half");
            released.await();
        });
        AttemptId attempt = attempts.dispatch(attempts.call("a", "x"), TARGET, OUT_OF_REACH, RELAY);
        attempts.next(Event.AttemptStarted.class);
        attempts.end(relay);
        AttemptOutcome.Failed failed = attempts.failure(attempt);
        assertThat(failed.kind()).as(failed.detail()).isEqualTo(FailureKind.PATH_LOST);
        assertThat(failed.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    /** Guards against half a body that is taken for a whole one, as the relay closes a reset connection. */
    @Test
    void targetThatResetsABodyUntilCloseDoesNotMakeItLookComplete() throws Exception {
        attempts.startRelay();
        runner.setScript((request, response) -> {
            response.head(request, "Connection: close\r\n");
            response.write("half");
            response.reset();
        });
        assertConnectionLost();
    }

    @Test
    void targetThatClosesBeforeTheEndOfABodyLosesTheConnection() throws Exception {
        attempts.startRelay();
        runner.setScript((request, response) -> {
            response.head(request, "Content-Length: 10\r\n");
            response.write("half");
            response.end();
        });
        assertConnectionLost();
    }

    /** Nobody but the relay could tell whether the target is gone, so that it does not count as such. */
    @Test
    void targetThatClosesWithoutAResponseLosesTheConnection() throws Exception {
        attempts.startRelay();
        runner.setScript((request, response) -> response.end());
        assertConnectionLost();
    }

    private void assertConnectionLost() throws InterruptedException {
        AttemptId attempt = attempts.dispatch(attempts.call("a", "x"), TARGET, OUT_OF_REACH, RELAY);
        AttemptOutcome.Failed failed = attempts.failure(attempt);
        assertThat(failed.kind()).as(failed.detail()).isEqualTo(FailureKind.CONNECTION_LOST);
        assertThat(failed.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void targetThatTheRelayDoesNotKnowIsOutOfItsReach() throws Exception {
        attempts.startRelay();
        attempts.relayDirectory.clear();
        assertNotRun(FailureKind.PATH_LOST);
        assertThat(attempts.relayMetrics.counter("relay.refused.unknown-target").getCount())
                .isEqualTo(1);
    }

    @Test
    void targetThatRefusesTheRelaysConnectionIsOutOfItsReach() throws Exception {
        attempts.startRelay();
        runner.close();
        assertNotRun(FailureKind.PATH_LOST);
        assertThat(attempts.relayMetrics.counter("relay.refused.unreachable").getCount())
                .isEqualTo(1);
    }

    @Test
    void relayThatStopsOpensNoFurtherConnection() throws Exception {
        attempts.startRelay();
        attempts.relayStopping.set(true);
        assertNotRun(FailureKind.RELAY_FAILED);
    }

    @Test
    void relayThatDoesNotKnowTheMessageFails() throws Exception {
        attempts.startPeer(RelayedAttempts.RELAY, RelayedAttempts.KEY, Optional.empty());
        assertNotRun(FailureKind.RELAY_FAILED);
    }

    @Test
    void relayWithAnotherKeyFails() throws Exception {
        attempts.startPeer(RelayedAttempts.RELAY, "guess", Optional.empty());
        assertNotRun(FailureKind.RELAY_FAILED);
    }

    /** Guards against a request that reaches a daemon which has taken over the address of another one. */
    @Test
    void peerOfAnotherNameAtTheRelaysAddressFails() throws Exception {
        HostId stranger = new HostId("stranger");
        attempts.startPeer(stranger, RelayedAttempts.KEY, Optional.empty());
        attempts.peers.put(RelayedAttempts.RELAY, attempts.peers.get(stranger));
        assertNotRun(FailureKind.RELAY_FAILED);
    }

    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:9", "nowhere"})
    void relayThatCannotBeReachedFails(String address) throws Exception {
        attempts.peers.put(RelayedAttempts.RELAY, address);
        assertNotRun(FailureKind.RELAY_FAILED);
    }

    @Test
    void relayWithoutAnAddressFails() throws Exception {
        assertNotRun(FailureKind.RELAY_FAILED);
    }

    @Test
    void relayThatSaysNothingFails() throws Exception {
        try (RelayedAttempts impatient = new RelayedAttempts(TargetConnections.CONNECT_TIMEOUT_MS);
                ServerSocket silent = silentRelay(impatient)) {
            assertNotRun(impatient, FailureKind.RELAY_FAILED);
        }
    }

    private static ServerSocket silentRelay(RelayedAttempts attempts) throws IOException {
        ServerSocket silent = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        attempts.peers.put(RelayedAttempts.RELAY, "127.0.0.1:" + silent.getLocalPort());
        return silent;
    }

    private void assertNotRun(FailureKind kind) throws InterruptedException {
        assertNotRun(attempts, kind);
    }

    private void assertNotRun(RelayedAttempts by, FailureKind kind) throws InterruptedException {
        AttemptId attempt = by.dispatch(by.call("a", "x"), TARGET, OUT_OF_REACH, RELAY);
        AttemptOutcome.Failed failed = by.failure(attempt);
        assertThat(failed.kind()).as(failed.detail()).isEqualTo(kind);
        assertThat(failed.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(runner.requests()).isZero();
    }

    @Test
    void cancelClosesTheTargetsConnection() throws Exception {
        attempts.startRelay();
        keepConnectionOpen();
        AttemptId attempt = attempts.dispatch(attempts.call("a", "x"), TARGET, OUT_OF_REACH, RELAY);
        attempts.next(Event.AttemptStarted.class);
        attempts.run(new Effect.CancelAttempt(attempt));
        assertThat(attempts.failure(attempt).kind()).isEqualTo(FailureKind.CANCELLED);
        await(() -> runner.closedByPeer() == 1);
    }

    /** Guards against a target that goes on with a request whose caller has left, as its relay does not read. */
    @Test
    void cancelClosesTheTargetsConnectionWhileTheTargetDoesNotReadTheRequest() throws Exception {
        attempts.startRelay();
        runner.setEarlyScript((request, response) -> released.await());
        AttemptId attempt = attempts.dispatch(attempts.call("a", body(MORE_THAN_BUFFERS)), TARGET, OUT_OF_REACH, RELAY);
        awaitStall();
        attempts.run(new Effect.CancelAttempt(attempt));
        assertThat(attempts.failure(attempt).kind()).isEqualTo(FailureKind.CANCELLED);
        await(() -> relayedConnections() == 0);
    }

    @Test
    void cancelClosesTheTargetsConnectionWhileTheCallerDoesNotRead() throws Exception {
        attempts.startRelay();
        writeEventsWithoutEnd("a");
        AttemptId attempt = attempts.dispatch(attempts.call("a", "x"), TARGET, OUT_OF_REACH, RELAY);
        attempts.next(Event.AttemptStarted.class);
        awaitStall();
        attempts.run(new Effect.CancelAttempt(attempt));
        assertThat(attempts.failure(attempt).kind()).isEqualTo(FailureKind.CANCELLED);
        await(() -> runner.closedByPeer() == 1 && relayedConnections() == 0);
    }

    /** Guards against one slow caller for whom the relay holds up the others. */
    @Test
    void otherRelayedConnectionsGoOnWhileACallerDoesNotRead() throws Exception {
        attempts.startRelay();
        writeEventsWithoutEnd("slow");
        AttemptId slow = attempts.dispatch(attempts.call("slow", "x"), TARGET, OUT_OF_REACH, RELAY);
        attempts.next(Event.AttemptStarted.class);
        awaitStall();
        for (int i = 0; i < OTHER_REQUESTS; i++) {
            assertThat(relayed("other-" + i, TARGET)).isEqualTo("other-" + i);
        }
        attempts.run(new Effect.CancelAttempt(slow));
        assertThat(attempts.failure(slow).kind()).isEqualTo(FailureKind.CANCELLED);
    }

    /** Answers the request with the id with events until the connection is closed, others with their bodies. */
    private void writeEventsWithoutEnd(String id) {
        runner.setScript((request, response) -> {
            if (!request.id().equals(id)) {
                response.whole(request, new String(request.body()));
                return;
            }
            response.head(request, "Content-Type: text/event-stream\r\nConnection: close\r\n");
            for (int i = 1; released.getCount() > 0; i++) {
                response.write("id: " + i + "\ndata: " + "x".repeat(8_000) + "\n\n");
            }
        });
    }

    /** Waits until the relay carries no byte for a while. */
    private void awaitStall() {
        Counter carried = attempts.relayMetrics.counter("relay.bytes");
        AtomicLong last = new AtomicLong();
        AtomicLong sinceMs = new AtomicLong(attempts.clock.nowMs());
        await(() -> {
            long nowMs = attempts.clock.nowMs();
            if (last.getAndSet(carried.getCount()) != carried.getCount()) {
                sinceMs.set(nowMs);
            }
            return last.get() > 0 && nowMs - sinceMs.get() >= HOLD_MS;
        });
    }

    private int relayedConnections() {
        return (Integer)
                attempts.relayMetrics.getGauges().get("relay.connections").getValue();
    }

    /** Writes events until the connection is closed. */
    private void keepConnectionOpen() {
        runner.setScript((request, response) -> {
            response.head(request, "Content-Type: text/event-stream\r\nConnection: close\r\n");
            while (!released.await(1, TimeUnit.MILLISECONDS)) {
                response.write(": comment\n\n");
            }
        });
    }

    @Test
    void relayedConnectionIsUsedAgain() throws Exception {
        attempts.startRelay();
        for (String id : List.of("a", "b", "c")) {
            assertThat(relayed(id, TARGET)).isEqualTo(id);
        }
        assertThat(runner.connections()).isEqualTo(1);
        assertThat(attempts.relayMetrics.counter("relay.opened").getCount()).isEqualTo(1);
    }

    /** Guards against a pooled connection through the same relay that ends at another target. */
    @Test
    void connectionToOneTargetNeverCarriesARequestForAnother() throws Exception {
        attempts.startRelay();
        try (RawRunnerStandIn other =
                new RawRunnerStandIn("other", (request, response) -> response.whole(request, "of the other"))) {
            attempts.relayDirectory.put(OTHER, other.address());
            for (String id : List.of("a", "b", "c", "d")) {
                assertThat(relayed(id, TARGET)).isEqualTo(id);
                assertThat(relayed(id + "-other", OTHER)).isEqualTo("of the other");
            }
            assertThat(runner.requests()).isEqualTo(4);
            assertThat(other.requests()).isEqualTo(4);
        }
    }

    /** Guards against the late copy of a response that the next request on the connection receives. */
    @Test
    void secondCopyOfAResponseReachesNobody() throws Exception {
        attempts.startRelay();
        CountDownLatch copied = new CountDownLatch(1);
        runner.setScript((request, response) -> {
            response.whole(request, new String(request.body()));
            if (request.id().equals("a")) {
                response.whole(request, new String(request.body()));
                copied.countDown();
            }
        });
        assertThat(relayed("a", TARGET)).isEqualTo("a");
        assertThat(copied.await(HANG_LIMIT_S, TimeUnit.SECONDS)).isTrue();
        await(() -> runner.closedByPeer() == 1);
        assertThat(relayed("b", TARGET)).isEqualTo("b");
        assertThat(runner.connections()).isEqualTo(2);
    }

    /** Sends the id as the body and returns the body of the response. */
    private String relayed(String id, TargetId target) throws InterruptedException {
        GatewayCall call = attempts.call(id, id);
        AttemptId attempt = attempts.dispatch(call, target, OUT_OF_REACH, RELAY);
        assertThat(attempts.outcome(attempt)).isInstanceOf(AttemptOutcome.Succeeded.class);
        return new String(call.held().body(), StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void targetThatSendsNothingIsSilentUntilItsAttemptIsAbandoned(boolean relayed) throws Exception {
        attempts.startRelay();
        runner.setScript((request, response) -> released.await());
        AttemptId attempt = dispatch(relayed);
        assertThat(attempts.next(Event.AttemptSilent.class).attempt()).isEqualTo(attempt);
        assertThat(attempts.next(Event.AttemptSilent.class).attempt()).isEqualTo(attempt);
        await(() -> runner.requests() == 1);
        attempts.run(new Effect.AbandonAttempt(attempt));
        AttemptOutcome.Failed failed = attempts.failure(attempt);
        assertThat(failed.kind()).as(failed.detail()).isEqualTo(FailureKind.PATH_LOST);
        assertThat(failed.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void targetThatStopsSendingInAResponseIsSilent(boolean relayed) throws Exception {
        attempts.startRelay();
        runner.setScript((request, response) -> {
            response.head(request, "Content-Length: 10\r\n");
            response.write("half");
            released.await();
        });
        AttemptId attempt = dispatch(relayed);
        attempts.next(Event.AttemptStarted.class);
        assertThat(attempts.next(Event.AttemptSilent.class).attempt()).isEqualTo(attempt);
        attempts.run(new Effect.AbandonAttempt(attempt));
        assertThat(attempts.failure(attempt).kind()).isEqualTo(FailureKind.PATH_LOST);
        await(() -> attempts.relayMetrics
                .getGauges()
                .get("relay.connections")
                .getValue()
                .equals(0));
    }

    /** Guards against a slow target whose attempt is given up although it responds. */
    @Test
    void attemptWhoseTargetSendsIsNotAbandoned() throws Exception {
        attempts.startRelay();
        keepConnectionOpen();
        AttemptId attempt = dispatch(true);
        attempts.next(Event.AttemptStarted.class);
        attempts.run(new Effect.AbandonAttempt(attempt));
        attempts.run(new Effect.CancelAttempt(attempt));
        assertThat(attempts.failure(attempt).kind()).isEqualTo(FailureKind.CANCELLED);
    }

    @Test
    void attemptWithoutAConnectionHasNotRunWhenItIsAbandoned() throws Exception {
        try (ServerSocket silent = silentRelay(attempts)) {
            AttemptId attempt = dispatch(true);
            attempts.run(new Effect.AbandonAttempt(attempt));
            AttemptOutcome.Failed failed = attempts.failure(attempt);
            assertThat(failed.kind()).as(failed.detail()).isEqualTo(FailureKind.PATH_LOST);
            assertThat(failed.verdict()).isEqualTo(Verdict.NOT_RUN);
        }
    }

    /** Guards against a target that is given up because its caller reads slowly. */
    @Test
    void slowCallerReceivesTheWholeStreamAndItsTargetIsNotSilent() throws Exception {
        attempts.startRelay();
        runner.setScript((request, response) -> {
            if (request.id().equals("other")) {
                released.await();
            }
            response.head(request, "Content-Type: text/event-stream\r\nConnection: close\r\n");
            for (int i = 1; i <= STREAM_EVENTS; i++) {
                response.write("id: " + i + "\ndata: " + "x".repeat(8_000) + "\n\n");
            }
            response.end();
        });
        GatewayCall call = attempts.call("slow", "x");
        AttemptId slow = attempts.dispatch(call, TARGET, OUT_OF_REACH, RELAY);
        CallResponse.Streamed streamed = (CallResponse.Streamed) call.response().block();
        await(() -> attempts.onLoop(call::unreadBytes) > GatewayCall.MAX_UNREAD_BYTES);
        attempts.dropEvents();
        AttemptId other = attempts.dispatch(attempts.call("other", "x"), TARGET, OUT_OF_REACH, RELAY);
        for (int i = 0; i < 3; i++) {
            assertThat(attempts.next(Event.AttemptSilent.class).attempt()).isEqualTo(other);
        }
        attempts.run(new Effect.AbandonAttempt(slow));
        AtomicInteger events = new AtomicInteger();
        attempts.onLoop(() -> streamed.events().subscribe(event -> events.incrementAndGet()));
        assertThat(attempts.outcome(slow)).isInstanceOf(AttemptOutcome.Succeeded.class);
        await(() -> events.get() == STREAM_EVENTS);
    }

    private AttemptId dispatch(boolean relayed) {
        return relayed
                ? attempts.dispatch(attempts.call("a", "x"), TARGET, OUT_OF_REACH, RELAY)
                : attempts.dispatch(attempts.call("a", "x"), TARGET, runner.address(), Optional.empty());
    }

    private static void await(BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_LIMIT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > untilNanos) {
                throw new AssertionError("the condition did not hold within " + HANG_LIMIT_S + " s");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}
