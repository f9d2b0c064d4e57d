import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Case 3: a daemon is killed and starts again while another one, which it has asked for results, is frozen. */
final class RestartedReader extends Trial {

    private static final int JOBS = 24;
    private static final int FIRST_ITEMS = 2;
    private static final int EVENTS = 40;

    /** How long the daemon that started again has to learn which daemons own the partitions. */
    private static final long LEARN_MS = 1_300;

    public static void main(String[] arguments) {
        new RestartedReader().run();
    }

    @Override
    void play() throws Exception {
        Store store = startStore(12);
        startRunners(store, 3, this::answer);
        startDaemons(store, 3, 12);
        Daemon reader = daemons.get(0);
        Daemon frozen = daemons.get(1);

        // Each job has another number of items, so that both its ids and its total tell it from the others.
        for (int i = 0; i < JOBS; i++) {
            submit(job(i), FIRST_ITEMS + i);
        }
        Thread.sleep(500);
        log(frozen.name() + " owns the partitions " + store.partitionsOf(1));
        ExecutorService clients = Executors.newCachedThreadPool();
        readAll(clients, reader, 0, 5, 10);
        Thread.sleep(50);
        Daemon restarted = reader;
        if (trouble) {
            log(reader.name() + " is killed (SIGKILL) and starts again");
            signal("KILL", reader);
            reader.process().waitFor();
            restarted = restart(reader);
            Thread.sleep(500);
            log(frozen.name() + " freezes (SIGSTOP)");
            signal("STOP", frozen);
        }
        Daemon asked = restarted;
        await(asked.name() + " is ready", 20_000, () -> isReady(asked));
        log(asked.name() + " is ready");
        Thread.sleep(LEARN_MS);
        readAll(clients, asked, 12, 19, 2);
        Thread.sleep(200);
        if (trouble) {
            log(frozen.name() + " wakes (SIGCONT)");
            signal("CONT", frozen);
        }
        clients.shutdown();
        clients.awaitTermination(20, TimeUnit.SECONDS);
    }

    private static String job(int index) {
        return "7c41e0%02x".formatted(index);
    }

    /** Reads all jobs at once, once for each offset, beginning with the job at the offset. */
    private void readAll(ExecutorService clients, Daemon daemon, int... offsets) throws Exception {
        for (int offset : offsets) {
            for (int i = 0; i < JOBS; i++) {
                int index = (i + offset) % JOBS;
                clients.execute(() -> read(daemon, index));
                Thread.sleep(2);
            }
        }
    }

    private void read(Daemon daemon, int index) {
        try {
            Answer answer =
                    call(daemon.front(), "GET", "/v1/lots/" + job(index) + "?after=0", "Wait-Ms: 1000\r\n", "", 2_500);
            String body = answer.body();
            log("read of job " + job(index) + " at " + daemon.name() + ": " + answer.status()
                    + (answer.status() == 200 ? ", " + summary(body) : ""));
            if (answer.status() != 200) {
                return;
            }
            if (!body.contains("\"total\":" + (FIRST_ITEMS + index) + ",")) {
                broken("a read of job " + job(index) + " with " + (FIRST_ITEMS + index) + " items returned " + summary(body));
            }
            Matcher ids = Pattern.compile("\"id\":\"(" + "7c41e0..)i").matcher(body);
            while (ids.find()) {
                if (!ids.group(1).equals(job(index))) {
                    broken("a read of job " + job(index) + " returned an item of job " + ids.group(1));
                    return;
                }
            }
        } catch (IOException e) {
            log("read of job " + job(index) + " at " + daemon.name() + ": no answer, " + e.getMessage());
        }
    }

    private static String summary(String body) {
        return body.substring(0, Math.min(60, body.length()));
    }

    private boolean answer(Runner runner, Runner.Request request, OutputStream out) throws IOException {
        beginStream(request, out);
        for (int event = request.lastEventId() + 1; event <= EVENTS; event++) {
            pause(250);
            Runner.chunk(out, event(request.requestId(), event));
        }
        Runner.write(out, "0\r\n\r\n");
        return true;
    }
}
