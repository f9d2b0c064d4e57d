import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 4: a runner spoils a few of its answers in the middle of the stream. */
final class SpoiledStream extends Trial {

    private static final int JOBS = 20;
    private static final int ITEMS = 20;
    private static final int EVENTS = 30;

    /** A share of 1 in 3 runners spoils one answer in 50; the sheet's site has a share of 0.35 and x = 0.02. */
    private static final String FAULTY_RUNNER = "i-7f3a91c0";

    private static final int ANSWERS_FOR_ONE_SPOILED = 50;

    private final AtomicInteger answers = new AtomicInteger(ANSWERS_FOR_ONE_SPOILED / 2);

    public static void main(String[] arguments) {
        new SpoiledStream().run();
    }

    @Override
    void play() throws Exception {
        Store store = startStore(12);
        startRunners(store, 3, this::answer);
        startDaemons(store, 1, 12);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            jobs.add("7c41e0%02x".formatted(i));
        }
        for (String job : jobs) {
            submit(job, ITEMS);
        }
        for (String job : jobs) {
            for (String result : awaitResults(job, ITEMS, 60_000)) {
                check(job, result);
            }
        }
    }

    private void check(String job, String result) {
        String[] parts = result.split(" ", 3);
        List<String> whole = new ArrayList<>();
        for (int event = 1; event <= EVENTS; event++) {
            whole.add(piece(parts[0], event));
        }
        if (!parts[1].equals("completed") || !parts[2].equals(String.join("\\n", whole))) {
            broken("item " + parts[0] + " of job " + job + " is " + parts[1] + " with the text \"" + parts[2] + "\"");
        }
    }

    private boolean answer(Runner runner, Runner.Request request, OutputStream out) throws IOException {
        String id = request.requestId();
        boolean spoiled = trouble
                && runner.id.equals(FAULTY_RUNNER)
                && answers.incrementAndGet() % ANSWERS_FOR_ONE_SPOILED == 0;
        log("run of " + id + " at " + runner.id + " after event " + request.lastEventId());
        beginStream(request, out);
        for (int event = request.lastEventId() + 1; event <= EVENTS; event++) {
            pause(10);
            if (spoiled && event == EVENTS / 2) {
                log(runner.id + " sends events " + event + " and " + (event + 1) + " of " + id
                        + " and then bytes that are no event, and closes the connection");
                Runner.chunk(out, event(id, event) + event(id, event + 1) + "\u0007\u0001spoiled\n\n");
                return false;
            }
            Runner.chunk(out, event(id, event));
        }
        Runner.write(out, "0\r\n\r\n");
        return true;
    }
}
