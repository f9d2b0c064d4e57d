import java.io.IOException;
import java.io.OutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Case 1: a partition leaves its owner and comes back while the store refuses calls on it. */
final class RedealtPartition extends Trial {

    private static final int PARTS = 12;
    private static final int JOBS = 36;
    private static final int ITEMS = 5;
    private static final int EVENTS = 20;

    /** The largest dose of the site file: platform_down, busy, for_s 4.8, share 0.34 (4 of 12 partitions). */
    private static final long DOWN_MS = 4_800;

    private static final int DOWN_PARTS = 4;

    public static void main(String[] arguments) {
        new RedealtPartition().run();
    }

    @Override
    void play() throws Exception {
        Store store = startStore(PARTS);
        startRunners(store, 3, this::answer);
        startDaemons(store, 2, PARTS);

        Map<String, List<String>> before = new TreeMap<>();
        for (int i = 0; i < JOBS; i++) {
            before.put("7c41e0%02x".formatted(i), List.of());
        }
        for (String job : before.keySet()) {
            submit(job, ITEMS);
        }
        for (String job : before.keySet()) {
            before.put(job, awaitResults(job, ITEMS, 40_000));
        }
        log("all " + JOBS + " jobs are done and all their results have been read");

        if (trouble) {
            Set<Integer> down = new HashSet<>(store.partitionsOf(0).subList(0, DOWN_PARTS));
            log("the store refuses (503) what concerns the partitions " + down + " of the jobs and of the results");
            store.refuse((topic, part) -> !topic.equals("keyed.op") && !topic.equals("keyed.servers")
                    && !topic.equals("keyed.hosts") && down.contains(part));
            Thread.sleep(DOWN_MS / 2);
            log("the store reassigns all partitions at once");
            store.dealAnew();
            store.onNextAcknowledgement(0, () -> {
                log("the owner has acknowledged; the store reassigns all partitions at once, again");
                store.dealAnew();
            });
            Thread.sleep(DOWN_MS - DOWN_MS / 2);
            store.refuse((topic, part) -> false);
            log("the store serves all partitions again");
        } else {
            Thread.sleep(DOWN_MS);
        }
        Thread.sleep(15_000);
        compare(before);
    }

    private void compare(Map<String, List<String>> before) throws Exception {
        for (Map.Entry<String, List<String>> job : before.entrySet()) {
            List<String> after = awaitResults(job.getKey(), ITEMS, 20_000);
            for (int position = 0; position < ITEMS; position++) {
                String was = job.getValue().get(position);
                String is = after.get(position);
                if (!was.equals(is)) {
                    broken("job " + job.getKey() + ", position " + position + " held " + id(was) + " and now holds " + id(is));
                }
            }
        }
    }

    private static String id(String result) {
        return result.substring(0, result.indexOf(' ', result.indexOf(' ') + 1));
    }

    private boolean answer(Runner runner, Runner.Request request, OutputStream out) throws IOException {
        log("run of " + request.requestId() + " at " + runner.id + " after event " + request.lastEventId());
        beginStream(request, out);
        for (int event = request.lastEventId() + 1; event <= EVENTS; event++) {
            pause(2 + random.nextInt(20));
            Runner.chunk(out, event(request.requestId(), event));
        }
        Runner.write(out, "0\r\n\r\n");
        return true;
    }
}
