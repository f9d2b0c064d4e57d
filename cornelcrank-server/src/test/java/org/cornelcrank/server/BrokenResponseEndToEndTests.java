package org.cornelcrank.server;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Request;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Breaks off the first response to a request after any of its bytes, lets the next target answer in any way, and
 * compares the bytes that the caller receives with what the runners wrote.
 */
class BrokenResponseEndToEndTests {

    private static final int RUNNERS = 24;
    private static final int PIECES = 4;
    private static final int CALLERS = 8;

    /** How often a combination is tried until a second attempt has taken place, if it may. */
    private static final int MAX_TRIES = 3;

    /** How many sound requests follow each combination, so that runners are healthy and retries remain allowed. */
    private static final int SOUND_REQUESTS = 4;

    private static final int MAX_ITEMS_OF_A_JOB = 150;
    private static final String WHOLE = "whole response of run %d\nof two lines\n\n";
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: run (\\d+) piece (\\d+)\n\n");
    private static final Pattern ITEM_PIECE = Pattern.compile("run (\\d+) piece (\\d+)(?:\n|$)");

    private final Map<String, Plan> plans = new ConcurrentHashMap<>();
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final List<RawRunnerStandIn> runners = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger secondAttempts = new AtomicInteger();
    private GatewayFleet fleet;

    /** How a connection ends. */
    enum Ending {
        FIN,
        RST
    }

    /** How a sound response is framed. */
    enum Framing {
        STREAM_IN_CHUNKS("stream"),
        STREAM_UNTIL_CLOSE("stream"),
        STREAM_THAT_CANNOT_RESUME("once"),
        BODY_OF_A_LENGTH("idem"),
        BODY_IN_CHUNKS("idem"),
        BODY_UNTIL_CLOSE("idem"),
        BODY_THAT_MUST_NOT_BE_REPEATED("unsafe");

        private final String route;

        Framing(String route) {
            this.route = route;
        }

        boolean stream() {
            return ordinal() <= STREAM_THAT_CANNOT_RESUME.ordinal();
        }

        boolean untilClose() {
            return this == STREAM_UNTIL_CLOSE || this == BODY_UNTIL_CLOSE;
        }

        boolean repeatable() {
            return this != STREAM_THAT_CANNOT_RESUME && this != BODY_THAT_MUST_NOT_BE_REPEATED;
        }
    }

    /** What the next target answers. */
    enum Next {
        SOUND,
        REFUSAL,
        FAILURE_WITH_BODY,
        FAILURE_WITHOUT_BODY,
        FAILURE_IN_CHUNKS,
        OTHER_TYPE,
        PLAIN,
        HEAD_BREAKS_OFF,
        EVENTS_FROM_ONE,
        NO_ANSWER
    }

    private record Plan(Framing framing, int cut, Ending ending, Next next) {}

    /** An attempt as its runner saw it; {@code after} is the event after which the runner was asked to go on. */
    private record Run(int number, String runner, int after, boolean refused) {

        String signature() {
            return "signed-by-" + runner;
        }
    }

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(0);
        for (int i = 0; i < RUNNERS; i++) {
            String id = "raw-%02d".formatted(i);
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

    /** Guards against a broken response that is delivered as whole, or with bytes of the next answer inside. */
    @ParameterizedTest
    @EnumSource
    void responseThatBreaksOffIsOfOneRunOrVisiblyBroken(Framing framing) throws Exception {
        List<Plan> played = plans(framing);
        List<String> faults = playAll(played);
        assertThat(faults).isEmpty();
        if (framing.repeatable()) {
            assertThat(secondAttempts.get()).isGreaterThan(played.size() / 2);
        }
    }

    /** Returns a break behind each byte, and each kind of break before each kind of next answer. */
    private static List<Plan> plans(Framing framing) {
        String text = text(framing, new Run(1, "raw-00", 0, false), id(0));
        int headEnd = text.indexOf("\r\n\r\n") + 4;
        List<Plan> all = new ArrayList<>();
        Next[] answers = Next.values();
        for (int cut = 0; cut < text.length(); cut++) {
            if (visible(framing, text, headEnd, cut, Ending.FIN)) {
                all.add(new Plan(framing, cut, Ending.FIN, answers[cut % answers.length]));
            }
        }
        for (int cut : kinds(text, headEnd)) {
            for (Next next : answers) {
                for (Ending ending : Ending.values()) {
                    if (visible(framing, text, headEnd, cut, ending)) {
                        all.add(new Plan(framing, cut, ending, next));
                    }
                }
            }
        }
        return all;
    }

    /** Returns one place of each kind: in the status line, in a header, behind the head, in a body, before its end. */
    private static List<Integer> kinds(String text, int headEnd) {
        int signature = text.indexOf("Response-Signature");
        return Stream.of(
                        0,
                        "HTTP/1.1 20".length(),
                        "HTTP/1.1 200 OK\r\n".length(),
                        signature + 3,
                        signature + 25,
                        headEnd - 2,
                        headEnd,
                        headEnd + 1,
                        headEnd + (text.length() - headEnd) / 3,
                        headEnd + (text.length() - headEnd) * 2 / 3,
                        text.length() - 1)
                .distinct()
                .toList();
    }

    /** A body that ends with its connection is complete wherever that ends, a stream between two events. */
    private static boolean visible(Framing framing, String text, int headEnd, int cut, Ending ending) {
        if (!framing.untilClose() || ending == Ending.RST || cut < headEnd) {
            return true;
        }
        return framing.stream() && cut > headEnd && !text.substring(0, cut).endsWith("\n\n");
    }

    private List<String> playAll(List<Plan> all) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try {
            List<Callable<String>> plays = all.stream()
                    .map(plan -> (Callable<String>) () -> play(plan))
                    .toList();
            List<String> faults = new ArrayList<>();
            for (Future<String> result : callers.invokeAll(plays)) {
                if (!result.get().isEmpty()) {
                    faults.add(result.get());
                }
            }
            return faults;
        } finally {
            callers.shutdownNow();
        }
    }

    private String play(Plan plan) throws IOException {
        for (int tried = 0; tried < MAX_TRIES; tried++) {
            String id = id(requests.incrementAndGet());
            plans.put(id, plan);
            RawResponse received = send(plan.framing().route, id);
            List<Run> ran = List.copyOf(runs.getOrDefault(id, List.of()));
            String fault = fault(plan, ran, received);
            if (!fault.isEmpty()) {
                return fault + ": " + plan + ", runs " + ran + ", got " + received;
            }
            for (int i = 0; i < SOUND_REQUESTS; i++) {
                send("idem", "sound-" + requests.incrementAndGet());
            }
            if (ran.size() > 1) {
                secondAttempts.incrementAndGet();
                break;
            }
            if (ran.size() == 1 && !plan.framing().repeatable()) {
                break;
            }
            awaitTargets();
        }
        return "";
    }

    /** Waits until the daemon sends requests again, which it may not do while all runners have failed lately. */
    private void awaitTargets() throws IOException {
        GatewayFleet.await(
                () -> send("idem", "warm-up-" + requests.incrementAndGet()).status() == 200);
    }

    private static String id(int number) {
        return "request-%06d".formatted(number);
    }

    /** Returns what is wrong with a response, empty if nothing is. */
    private static String fault(Plan plan, List<Run> ran, RawResponse received) {
        if (!received.complete()) {
            return received.status() == 200 ? streamFault(ran, received) : "";
        }
        return switch (received.status()) {
            case 200 -> received.headers().getOrDefault("content-type", "").startsWith("text/event-stream")
                    ? streamFault(ran, received)
                    : wholeFault(plan, ran, received);
            case 429, 503 -> ran.stream().allMatch(Run::refused) ? "" : "not run, although it ran";
            case 500 -> failureFault(ran, received);
            case 502, 504 -> received.signature().isEmpty()
                            && !received.body().contains("run ")
                            && !received.body().contains("HTTP/")
                    ? ""
                    : "a failure of this system holds a target's bytes";
            default -> "unknown status";
        };
    }

    private static String wholeFault(Plan plan, List<Run> ran, RawResponse received) {
        if (ran.isEmpty()) {
            return "success without a run";
        }
        Run last = ran.get(ran.size() - 1);
        String type = received.headers().getOrDefault("content-type", "");
        String expected = type.equals("text/html") ? otherType(last.number()) : WHOLE.formatted(last.number());
        boolean own = received.signature().equals(last.signature())
                && received.body().equals(expected)
                && (last.number() > 1 || plan.framing().untilClose());
        return own ? "" : "the body is not that of the last run";
    }

    private static String failureFault(List<Run> ran, RawResponse received) {
        Run last = ran.get(ran.size() - 1);
        boolean own = received.signature().equals(last.signature())
                && (received.body().isEmpty() || received.body().equals(failure(last.number())));
        return own ? "" : "the failure is not that of the last run";
    }

    private static String streamFault(List<Run> ran, RawResponse received) {
        Matcher events = EVENT.matcher(received.body());
        int end = 0;
        int piece = 0;
        int runOfPiece = 0;
        while (events.find()) {
            int run = Integer.parseInt(events.group(2));
            int number = Integer.parseInt(events.group(3));
            if (events.start() != end || number != Integer.parseInt(events.group(1))) {
                return "the stream holds other bytes";
            }
            if (number != piece + 1) {
                return "piece " + number + " follows piece " + piece;
            }
            if (runOfPiece == 0 && !received.signature().equals(ran.get(run - 1).signature())) {
                return "the signature is not that of the first run";
            }
            if (run != runOfPiece && (run < runOfPiece || ran.get(run - 1).after() != piece)) {
                return "run " + run + " goes on after piece " + piece + " for which it was not asked";
            }
            end = events.end();
            runOfPiece = run;
            piece++;
        }
        if (end != received.body().length()) {
            return "the stream holds other bytes at its end";
        }
        return received.complete() && piece != PIECES ? "complete after piece " + piece : "";
    }

    /** Guards against the text of an item that holds bytes of another run or lacks some of its own. */
    @Test
    void textOfAnItemWhoseResponseBreaksOffIsThatOfItsEvents() throws Exception {
        List<Plan> all = new ArrayList<>(plans(Framing.STREAM_IN_CHUNKS));
        all.addAll(plans(Framing.STREAM_UNTIL_CLOSE));
        List<String> faults = new ArrayList<>();
        for (int from = 0; from < all.size(); from += MAX_ITEMS_OF_A_JOB) {
            faults.addAll(playItems("job-" + from, all.subList(from, Math.min(all.size(), from + MAX_ITEMS_OF_A_JOB))));
        }
        assertThat(faults).isEmpty();
        assertThat(secondAttempts.get()).isGreaterThan(all.size() / 2);
    }

    private List<String> playItems(String job, List<Plan> all) throws IOException {
        Map<String, Plan> items = new LinkedHashMap<>();
        all.forEach(plan -> items.put(id(requests.incrementAndGet()), plan));
        plans.putAll(items);
        String body = Base64.getEncoder().encodeToString("x".getBytes(StandardCharsets.US_ASCII));
        String lines = items.keySet().stream()
                .map(id ->
                        "{\"id\":\"%s\",\"path\":\"/batch/stream/%s\",\"headers\":{\"Model\":\"m\"},\"body\":\"%s\",\"tokens\":9}"
                                .formatted(id, id, body))
                .collect(Collectors.joining(","));
        assertThat(fleet.post(0, "batch", job, "{\"items\":[" + lines + "]}").statusCode())
                .isEqualTo(202);
        List<String> faults = new ArrayList<>();
        ObjectMapper json = new ObjectMapper();
        AtomicInteger next = new AtomicInteger();
        while (next.get() < items.size()) {
            HttpRequest read = fleet.request(0, "/v1/lots/" + job + "?after=" + next.get())
                    .header("Wait-Ms", "500")
                    .build();
            GatewayFleet.await(() -> {
                JsonNode page = json.readTree(fleet.send(read).body());
                page.path("results").forEach(result -> check(result, faults));
                return next.getAndAdd(page.path("results").size()) < next.get();
            });
        }
        return faults;
    }

    private void check(JsonNode result, List<String> faults) {
        String id = result.path("id").asText();
        List<Run> ran = List.copyOf(runs.getOrDefault(id, List.of()));
        secondAttempts.addAndGet(ran.size() > 1 ? 1 : 0);
        String fault = itemFault(
                ran, result.path("text").asText(), result.path("state").asText().equals("completed"));
        if (!fault.isEmpty()) {
            faults.add(fault + ": " + plans.get(id) + ", runs " + ran + ", got " + result);
        }
    }

    private static String itemFault(List<Run> ran, String text, boolean completed) {
        Matcher pieces = ITEM_PIECE.matcher(text);
        int end = 0;
        int piece = 0;
        int runOfPiece = 0;
        while (pieces.find()) {
            int run = Integer.parseInt(pieces.group(1));
            if (pieces.start() != end || Integer.parseInt(pieces.group(2)) != piece + 1) {
                return "the text holds other bytes after piece " + piece;
            }
            if (run != runOfPiece && (run < runOfPiece || ran.get(run - 1).after() != piece)) {
                return "run " + run + " goes on after piece " + piece + " for which it was not asked";
            }
            end = pieces.end();
            runOfPiece = run;
            piece++;
        }
        if (end != text.length()) {
            return "the text holds other bytes at its end";
        }
        return completed && piece != PIECES ? "complete after piece " + piece : "";
    }

    private RawResponse send(String route, String id) throws IOException {
        try (Socket socket = fleet.connect(0)) {
            String request =
                    ("POST /%s/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\nContent-Length: 1\r\n"
                                    + "Connection: close\r\n\r\nx")
                            .formatted(route, id, GatewayFleet.HOST, id);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return RawResponse.read(socket.getInputStream());
        }
    }

    private void respond(String runner, Request request, Response response) throws IOException, InterruptedException {
        Plan plan = plans.get(request.id());
        if (plan == null) {
            response.whole(request, "sound");
            return;
        }
        List<Run> attempts = runs.computeIfAbsent(request.id(), id -> new CopyOnWriteArrayList<>());
        int number = attempts.size() + 1;
        int after = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        Run run = new Run(number, runner, after, number == 2 && plan.next() == Next.REFUSAL);
        attempts.add(run);
        String sound = text(plan.framing(), run, request.id());
        if (number == 1) {
            response.write(sound.substring(0, Math.min(plan.cut(), sound.length() - 1)));
            end(response, plan.ending());
            return;
        }
        write(response, plan, run, request, sound);
        if (plan.framing().untilClose()) {
            response.end();
        }
    }

    private static void end(Response response, Ending ending) throws IOException, InterruptedException {
        if (ending == Ending.RST) {
            response.reset();
        } else {
            response.end();
        }
    }

    private static void write(Response response, Plan plan, Run run, Request request, String sound) throws IOException {
        String id = request.id();
        switch (run.number() == 2 ? plan.next() : Next.SOUND) {
            case REFUSAL -> response.write(RawRunnerStandIn.refusalText(request, ""));
            case FAILURE_WITH_BODY -> response.write(head(500, run, id) + length(failure(run.number())));
            case FAILURE_WITHOUT_BODY -> response.write(head(500, run, id) + length(""));
            case FAILURE_IN_CHUNKS -> response.write(head(500, run, id) + "Content-Type: text/event-stream\r\n"
                    + chunked(List.of(failure(run.number()))));
            case OTHER_TYPE -> response.write(
                    head(200, run, id) + "Content-Type: text/html\r\n" + chunked(List.of(otherType(run.number()))));
            case PLAIN -> response.write(head(200, run, id) + length(WHOLE.formatted(run.number())));
            case HEAD_BREAKS_OFF -> {
                response.write(head(200, run, id) + "Content-Len");
                response.end();
            }
            case EVENTS_FROM_ONE -> response.write(
                    plan.framing().stream()
                            ? head(200, run, id) + "Content-Type: text/event-stream\r\n"
                                    + chunked(pieces(run.number(), 0))
                            : sound);
            case NO_ANSWER -> response.end();
            default -> response.write(sound);
        }
    }

    private static String failure(int run) {
        return "failed in run " + run + "\n\nid: 1\ndata: run " + run + " piece 1\n\n";
    }

    private static String otherType(int run) {
        return "<p>run " + run + "</p>\n\n<p>end</p>\n\n";
    }

    /** Returns the whole response of a run that responds as it should. */
    private static String text(Framing framing, Run run, String id) {
        String body = WHOLE.formatted(run.number());
        List<String> pieces = pieces(run.number(), run.after());
        String head = head(200, run, id);
        String stream = head + "Content-Type: text/event-stream\r\n";
        return switch (framing) {
            case STREAM_IN_CHUNKS, STREAM_THAT_CANNOT_RESUME -> stream + chunked(pieces);
            case STREAM_UNTIL_CLOSE -> stream + "Connection: close\r\n\r\n" + String.join("", pieces);
            case BODY_OF_A_LENGTH, BODY_THAT_MUST_NOT_BE_REPEATED -> head + length(body);
            case BODY_IN_CHUNKS -> head + chunked(List.of(body));
            case BODY_UNTIL_CLOSE -> head + "Connection: close\r\n\r\n" + body;
        };
    }

    private static String head(int status, Run run, String id) {
        return "HTTP/1.1 " + status + " OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: " + run.signature()
                + "\r\n";
    }

    private static String length(String body) {
        return "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String chunked(List<String> chunks) {
        return "Transfer-Encoding: chunked\r\n\r\n"
                + chunks.stream()
                        .map(chunk -> Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n")
                        .collect(Collectors.joining())
                + "0\r\n\r\n";
    }

    private static List<String> pieces(int run, int after) {
        return IntStream.rangeClosed(after + 1, PIECES)
                .mapToObj(piece -> "id: %1$d\ndata: run %2$d piece %1$d\n\n".formatted(piece, run))
                .toList();
    }
}
