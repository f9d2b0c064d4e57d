package org.cornelcrank.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Request;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Combines the outcomes of two attempts of one request, for each kind of route, and compares what the caller gets with
 * what the runners wrote for that request.
 */
class AttemptOutcomesEndToEndTests {

    private static final int RUNNERS = 4;
    private static final int PIECES = 5;

    /** How often a combination is tried until a second attempt has taken place, if it may. */
    private static final int MAX_TRIES = 3;

    private static final long HANG_LIMIT_S = 30;

    private static final Pattern EVENT =
            Pattern.compile("(?:: comment\n\n)*(?:id: (\\d+)\n)?data: run (\\d+) piece (\\d+)\n\n");

    /** The outcomes that differ for responses without events. */
    private static final Set<Outcome> PLAIN =
            EnumSet.of(Outcome.SOUND, Outcome.FAILURE, Outcome.REFUSAL, Outcome.NO_RESPONSE, Outcome.BROKEN_OFF);

    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final List<RawRunnerStandIn> runners = new ArrayList<>();
    private volatile List<Outcome> outcomes = List.of();
    private GatewayFleet fleet;
    private int requests;
    private int secondAttempts;

    /** What a runner writes in reply to an attempt. */
    enum Outcome {
        SOUND,
        FAILURE,
        REFUSAL,
        NO_RESPONSE,
        BROKEN_OFF,
        WITHOUT_EVENTS,
        WHOLE_INSTEAD_OF_EVENTS,
        COMMENT_ONLY,
        IDS_FROM_ONE,
        IDS_REPEAT_THE_LAST,
        IDS_SKIP_ONE,
        IDS_GO_BACK,
        NO_IDS,
        NO_ID_FIRST,
        NO_ID_FIRST_AND_BROKEN_OFF
    }

    /** An attempt as its runner saw it; {@code after} is the event after which the runner was asked to go on. */
    private record Run(int number, String runner, Outcome outcome, int after) {

        boolean refused() {
            return outcome == Outcome.REFUSAL;
        }
    }

    /** What the caller got; the status is 0 if the response broke off. */
    private record Received(int status, String signature, String body) {}

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(0);
        for (int i = 0; i < RUNNERS; i++) {
            String id = "raw-" + i;
            RawRunnerStandIn runner = new RawRunnerStandIn(id, (request, response) -> respond(id, request, response));
            runners.add(runner);
            fleet.register(runner);
        }
        fleet.start("host-0");
        GatewayFleet.await(() -> fleet.ready(0));
        awaitTargets();
    }

    @AfterEach
    void stop() {
        fleet.close();
        runners.forEach(RawRunnerStandIn::close);
    }

    static Stream<Arguments> firstOutcomes() {
        Stream<Arguments> resumable =
                Arrays.stream(Outcome.values()).map(first -> Arguments.of("stream", EnumSet.of(first), "0 2"));
        return Stream.concat(
                resumable,
                Stream.of(
                        Arguments.of("idem", PLAIN, "0"),
                        Arguments.of("unsafe", PLAIN, "0"),
                        Arguments.of("once", EnumSet.allOf(Outcome.class), "0")));
    }

    /** Guards against a status, a signature, a body or events that belong to another run than the caller is told. */
    @ParameterizedTest(name = "{0}, first {1}, after {2}")
    @MethodSource("firstOutcomes")
    void callerGetsTheResponseOfOneRunOrAVisibleFailure(String route, Set<Outcome> firsts, String lastEvents)
            throws IOException {
        List<String> wrong = new ArrayList<>();
        for (Outcome first : firsts) {
            Set<Outcome> seconds = seconds(route, first);
            for (String lastEvent : lastEvents.split(" ")) {
                for (Outcome second : seconds) {
                    check(route, List.of(first, second), Integer.parseInt(lastEvent))
                            .ifPresent(wrong::add);
                }
            }
            if (first == Outcome.REFUSAL) {
                assertThat(secondAttempts).isPositive();
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** A request that must not run twice has a second attempt only if the first one was refused. */
    private static Set<Outcome> seconds(String route, Outcome first) {
        if (route.equals("idem") || route.equals("unsafe")) {
            return PLAIN;
        }
        boolean single = route.equals("once") && first != Outcome.REFUSAL;
        return single ? EnumSet.of(Outcome.SOUND) : EnumSet.allOf(Outcome.class);
    }

    static Stream<Arguments> streamsThatGoOnElsewhere() {
        return Stream.of(
                Arguments.of("an event is missing", "id: 3\ndata: run 1 piece 3\n\n"),
                Arguments.of("ids go back", "id: 1\ndata: run 1 piece 1\n\n"),
                Arguments.of("an event has no id", "data: run 1 piece 2\n\n"),
                Arguments.of("only comments follow", ": comment\n\n"));
    }

    /** Guards against two runners at work on one stream: the second one responds once the first one is left alone. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("streamsThatGoOnElsewhere")
    void connectionOfTheRunBeforeIsClosedBeforeAStreamGoesOn(String name, String spoiled) throws IOException {
        CountDownLatch left = new CountDownLatch(1);
        runners.forEach(runner -> runner.setScript((request, response) -> {
            List<Run> attempts = runs.computeIfAbsent(request.id(), id -> new CopyOnWriteArrayList<>());
            int after = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
            Run run = new Run(attempts.size() + 1, runner.id(), Outcome.SOUND, after);
            attempts.add(run);
            if (run.number() == 1) {
                keepOn(request, response, pieces(run, 1, 1, true) + spoiled, left);
            } else if (left.await(HANG_LIMIT_S, TimeUnit.SECONDS)) {
                stream(run, request, response);
            }
        }));
        Received received = send("stream", "kept", 0);
        assertThat(runs.get("kept")).extracting(Run::after).containsExactly(0, 1);
        assertThat(fault(runs.get("kept"), received, 0)).isEmpty();
        assertThat(received.status()).isEqualTo(200);
    }

    /** Writes an event and then comments until the peer closes the connection. */
    private static void keepOn(Request request, Response response, String events, CountDownLatch left)
            throws IOException, InterruptedException {
        response.head(request, "Content-Type: text/event-stream\r\nConnection: close\r\n");
        response.write(events);
        try {
            while (true) {
                response.write(": comment\n\n");
                Thread.sleep(10);
            }
        } catch (IOException e) {
            left.countDown();
            throw e;
        }
    }

    private Optional<String> check(String route, List<Outcome> planned, int lastEvent) throws IOException {
        for (int tried = 0; tried < MAX_TRIES; tried++) {
            outcomes = planned;
            String id = "r" + ++requests;
            Received received = send(route, id, lastEvent);
            List<Run> ran = List.copyOf(runs.getOrDefault(id, new CopyOnWriteArrayList<>()));
            String fault = fault(ran, received, lastEvent);
            if (!fault.isEmpty()) {
                return Optional.of(
                        fault + ": " + planned + ", after " + lastEvent + ", runs " + ran + ", got " + received);
            }
            if (ran.size() >= 2) {
                secondAttempts++;
                break;
            }
            if (ran.size() == 1 && planned.get(0) != Outcome.REFUSAL) {
                break;
            }
            awaitTargets();
        }
        return Optional.empty();
    }

    /** Waits until the daemon sends requests again, which it may not do while all runners have failed lately. */
    private void awaitTargets() throws IOException {
        outcomes = List.of();
        GatewayFleet.await(() -> fleet.status(0, "idem", "warm-up-" + ++requests, Map.of()) == 200);
    }

    /** Returns what is wrong with a response, empty if nothing is. */
    private static String fault(List<Run> ran, Received received, int lastEvent) {
        if (received.status() == 0) {
            return "";
        }
        if (received.status() == 429 || received.status() == 503) {
            return ran.stream().allMatch(Run::refused) ? "" : "not run, although it ran";
        }
        if (received.status() != 200) {
            return failureFault(ran, received);
        }
        if (ran.isEmpty()) {
            return "success without a run";
        }
        if (received.body().startsWith("whole")) {
            return lastEvent > 0 ? "a whole response to a stream that was taken up" : wholeFault(ran, received);
        }
        return streamFault(ran, received, lastEvent);
    }

    private static String failureFault(List<Run> ran, Received received) {
        if (received.signature().isEmpty()) {
            return received.status() == 502 || received.status() == 504 ? "" : "unknown failure";
        }
        Run last = ran.get(ran.size() - 1);
        boolean own = last.outcome() == Outcome.FAILURE
                && received.status() == 500
                && received.signature().equals(signature(last))
                && received.body().equals("failed in run " + last.number());
        return own ? "" : "the failure is not that of the last run";
    }

    private static String wholeFault(List<Run> ran, Received received) {
        Run last = ran.get(ran.size() - 1);
        boolean own = received.signature().equals(signature(last))
                && received.body().equals("whole response of run " + last.number());
        return own ? "" : "the body is not that of the last run";
    }

    private static String streamFault(List<Run> ran, Received received, int lastEvent) {
        Matcher events = EVENT.matcher(received.body());
        int end = 0;
        int piece = lastEvent;
        int runOfPiece = 0;
        while (events.find()) {
            if (events.start() != end) {
                return "the stream holds other bytes";
            }
            end = events.end();
            int run = Integer.parseInt(events.group(2));
            if (Integer.parseInt(events.group(3)) != piece + 1) {
                return "piece " + events.group(3) + " follows piece " + piece;
            }
            if (runOfPiece == 0 && !received.signature().equals(signature(ran.get(run - 1)))) {
                return "the signature is not that of the first run";
            }
            if (run != runOfPiece && (run < runOfPiece || ran.get(run - 1).after() != piece)) {
                return "run " + run + " goes on after piece " + piece + " for which it was not asked";
            }
            runOfPiece = run;
            piece++;
        }
        if (end != received.body().length()) {
            return "the stream holds other bytes at its end";
        }
        return piece == PIECES || resumedAtItsEnd(ran.get(ran.size() - 1), piece)
                ? ""
                : "complete after piece " + piece;
    }

    /** A resumed stream without events states that it has none beyond the event after which it resumes. */
    private static boolean resumedAtItsEnd(Run last, int piece) {
        return last.outcome() == Outcome.WITHOUT_EVENTS && piece > 0 && last.after() == piece;
    }

    private static String signature(Run run) {
        return "signed-by-" + run.runner();
    }

    private Received send(String route, String id, int lastEvent) throws IOException {
        try (Socket socket = fleet.connect(0)) {
            String head =
                    "POST /%s/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\n%sContent-Length: 1\r\n"
                                    .formatted(
                                            route,
                                            GatewayFleet.HOST,
                                            id,
                                            lastEvent == 0
                                                    ? ""
                                                    : "Last-Event-Id: " + lastEvent + "\r\nResumes: before\r\n")
                            + "Connection: close\r\n\r\nx";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            return receive(socket.getInputStream());
        }
    }

    private static Received receive(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            in.transferTo(bytes);
        } catch (SocketException e) {
            return new Received(0, "", "");
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        int headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return new Received(0, "", "");
        }
        String head = text.substring(0, headEnd);
        String rest = text.substring(headEnd + 4);
        int status = Integer.parseInt(head.substring(9, 12));
        String signature = header(head, "response-signature");
        if (header(head, "transfer-encoding").equals("chunked")) {
            return rest.endsWith("0\r\n\r\n")
                    ? new Received(status, signature, unchunk(rest))
                    : new Received(0, signature, rest);
        }
        String length = header(head, "content-length");
        boolean whole = !length.isEmpty() && rest.length() == Integer.parseInt(length);
        return whole ? new Received(status, signature, rest) : new Received(0, signature, rest);
    }

    private static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }

    private static String unchunk(String text) {
        StringBuilder body = new StringBuilder();
        int at = 0;
        while (true) {
            int lineEnd = text.indexOf("\r\n", at);
            int size = Integer.parseInt(text.substring(at, lineEnd), 16);
            if (size == 0) {
                return body.toString();
            }
            body.append(text, lineEnd + 2, lineEnd + 2 + size);
            at = lineEnd + 4 + size;
        }
    }

    private void respond(String runner, Request request, Response response) throws IOException {
        List<Run> attempts = runs.computeIfAbsent(request.id(), id -> new CopyOnWriteArrayList<>());
        Outcome outcome = attempts.size() < outcomes.size() ? outcomes.get(attempts.size()) : Outcome.SOUND;
        int after = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        Run run = new Run(attempts.size() + 1, runner, outcome, after);
        attempts.add(run);
        boolean stream = request.line().contains("/stream/") || request.line().contains("/once/");
        switch (outcome) {
            case FAILURE -> response.write("HTTP/1.1 500 Error\r\nRequest-Id: " + request.id()
                    + "\r\nResponse-Signature: " + signature(run) + "\r\nContent-Length: 15\r\n\r\nfailed in run "
                    + run.number());
            case REFUSAL -> response.write("HTTP/1.1 503 Full\r\nRequest-Id: " + request.id()
                    + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            case NO_RESPONSE -> response.end();
            default -> {
                if (stream && outcome != Outcome.WHOLE_INSTEAD_OF_EVENTS) {
                    stream(run, request, response);
                } else if (outcome == Outcome.BROKEN_OFF) {
                    response.head(request, "Content-Length: 100\r\n");
                    response.write("whole");
                    response.end();
                } else {
                    response.whole(request, "whole response of run " + run.number());
                }
            }
        }
    }

    private static void stream(Run run, Request request, Response response) throws IOException {
        response.head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        int next = run.after() + 1;
        String events =
                switch (run.outcome()) {
                    case WITHOUT_EVENTS -> "";
                    case COMMENT_ONLY, BROKEN_OFF -> run.outcome() == Outcome.COMMENT_ONLY
                            ? ": comment\n\n"
                            : pieces(run, next, next, true);
                    case IDS_FROM_ONE -> pieces(run, 1, PIECES, true);
                    case IDS_REPEAT_THE_LAST -> pieces(run, Math.max(1, run.after()), PIECES, true);
                    case IDS_SKIP_ONE -> pieces(run, next + 1, PIECES + 1, true);
                    case IDS_GO_BACK -> pieces(run, next, PIECES - 1, true) + pieces(run, next, PIECES, true);
                    case NO_IDS -> pieces(run, next, PIECES, false);
                    case NO_ID_FIRST -> pieces(run, next, next, false) + pieces(run, next + 1, PIECES, true);
                    case NO_ID_FIRST_AND_BROKEN_OFF -> pieces(run, next, next, false);
                    default -> pieces(run, next, PIECES, true);
                };
        if (!events.isEmpty()) {
            response.write(Integer.toHexString(events.length()) + "\r\n" + events + "\r\n");
        }
        if (run.outcome() == Outcome.BROKEN_OFF
                || run.outcome() == Outcome.COMMENT_ONLY
                || run.outcome() == Outcome.NO_ID_FIRST_AND_BROKEN_OFF) {
            response.end();
        } else {
            response.write("0\r\n\r\n");
        }
    }

    private static String pieces(Run run, int from, int to, boolean numbered) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(piece -> (numbered ? "id: " + piece + "\n" : "") + "data: run " + run.number() + " piece "
                        + piece + "\n\n")
                .collect(Collectors.joining());
    }
}
