import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Case 5: an entry in the list of runners, of another writer, has an address that is none. */
final class UnreadableEntry extends Trial {

    private static final int JOBS = 6;
    private static final int ITEMS = 10;
    private static final int EVENTS = 20;

    /** completionS of the site. */
    private static final long COMPLETION_MS = 18_000;

    /** How long no runner must have had an item before the end, and no item have been finished, in ms. */
    private static final long CALM_MS = 5_000;

    private volatile long lastRunEndedAt = System.nanoTime();

    public static void main(String[] arguments) {
        new UnreadableEntry().run();
    }

    @Override
    void play() throws Exception {
        Store store = startStore(12);
        startRunners(store, 3, this::answer);
        startDaemons(store, 2, 12);
        if (trouble) {
            log("another writer adds an entry whose address is 127.0.0.1:80800");
            store.put("keyed.servers", "i-02d9e6b4", ("{\"service\":\"%s\",\"address\":\"127.0.0.1:80800\",\"zone\":\"%s\","
                            + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}")
                    .formatted(SERVICE, ZONE));
        }
        Thread.sleep(2_000);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            jobs.add("7c41e0%02x".formatted(i));
            submit(jobs.get(i), ITEMS);
        }
        Thread.sleep(20_000 + COMPLETION_MS);
        log("the last run at a runner ended " + (System.nanoTime() - lastRunEndedAt) / 1_000_000_000 + " s ago");
        if (System.nanoTime() - lastRunEndedAt < CALM_MS * 1_000_000) {
            throw new IllegalStateException("the last " + CALM_MS + " ms were not calm");
        }
        for (String job : jobs) {
            Set<String> listed = new HashSet<>();
            for (int after = 0, read = 1; read > 0; after += read) {
                List<String> page = results(daemons.get(0), job, after);
                page.forEach(result -> listed.add(result.substring(0, result.indexOf(' '))));
                read = page.size();
            }
            for (int i = 0; i < ITEMS; i++) {
                if (!listed.contains(job + "i" + i)) {
                    broken("item " + job + "i" + i + " of job " + job + " is not listed "
                            + (20_000 + COMPLETION_MS) / 1_000 + " s after the 202");
                }
            }
        }
    }

    private boolean answer(Runner runner, Runner.Request request, OutputStream out) throws IOException {
        log("run of " + request.requestId() + " at " + runner.id + " after event " + request.lastEventId());
        beginStream(request, out);
        for (int event = request.lastEventId() + 1; event <= EVENTS; event++) {
            pause(20);
            Runner.chunk(out, event(request.requestId(), event));
        }
        Runner.write(out, "0\r\n\r\n");
        lastRunEndedAt = System.nanoTime();
        return true;
    }
}
