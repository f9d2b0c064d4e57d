package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Batch jobs of some MB, each sent twice more, at other daemons, after its 202. Answers of the store are lost for
 * 4.5 s, some of the writes being done later; when all is long over, the daemons are stopped and started in turn.
 */
public final class Case7 {

    private static final int EVENTS = 242;
    private static final long EVENT_MS = 50;
    private static final int JOBS = 8;
    private static final int ITEMS = 8;
    private static final int BODY_BYTES = 375_000;
    private static final double LOST_SHARE = 0.35;
    private static final long LOST_MS = 4_500;

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path folder = Path.of(args[1]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(folder.resolve("record.txt"));
        Deployment deployment = new Deployment(root, Path.of(args[2]), record);
        int verdict = 2;
        try {
            verdict = run(deployment, record, trouble);
        } catch (Exception e) {
            record.line("the case could not run: " + e);
            e.printStackTrace();
        } finally {
            deployment.close();
        }
        record.line("exit " + verdict);
        System.exit(verdict);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        for (int i = 0; i < 2; i++) {
            deployment.addRunner(EVENTS, EVENT_MS);
        }
        deployment.configure(600);
        for (int i = 0; i < 3; i++) {
            deployment.addDaemon();
        }
        if (!deployment.startAll()) {
            return 2;
        }
        Thread.sleep(8_000);
        Random random = new Random(7);
        List<Deployment.Job> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            jobs.add(new Deployment.Job(random, ITEMS, BODY_BYTES));
        }
        if (trouble) {
            record.line("trouble: for " + LOST_MS + " ms the store loses its answers to " + LOST_SHARE
                    + " of the writes, and does them 1 to 6 s later");
            Random fates = new Random();
            deployment.store().trouble(new Store.Trouble() {
                @Override
                public synchronized Store.Fate fate(String node, String topic, int part, int bytes) {
                    return fates.nextDouble() < LOST_SHARE ? Store.Fate.LATE : Store.Fate.ANSWERED;
                }

                @Override
                public synchronized long lateMs() {
                    return 1_000 + fates.nextInt(5_000);
                }
            });
        }
        long troubleEndsMs = record.ms() + LOST_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            Deployment.Job job = jobs.get(i);
            int first = i;
            Thread client = new Thread(() -> send(deployment, job, first));
            client.start();
            clients.add(client);
            Thread.sleep(300);
        }
        Thread.sleep(Math.max(0, troubleEndsMs - record.ms()));
        deployment.store().trouble(null);
        record.line("the store answers all again");
        for (Thread client : clients) {
            client.join();
        }
        long accepted = jobs.stream().filter(Deployment.Job::accepted).count();
        record.line(accepted + " jobs of " + JOBS + " are accepted");
        Thread.sleep(Math.max(0, troubleEndsMs + 7_000 - record.ms()));
        if (trouble) {
            record.line("trouble: the daemons are stopped and started in turn");
            for (Daemon daemon : deployment.daemons()) {
                daemon.terminate(8_000);
                daemon.start();
                daemon.awaitReady(10_000);
                Thread.sleep(1_500);
            }
        }
        return judge(deployment, record, jobs);
    }

    /** Sends a job until it is accepted; other clients send it twice more, each time at another daemon. */
    private static void send(Deployment deployment, Deployment.Job job, int first) {
        try {
            int attempt = 0;
            while (attempt < 4) {
                int status = deployment.submit(job, deployment.daemons().get((first + attempt) % 3));
                attempt++;
                if (status == 202) {
                    break;
                }
            }
            for (int again = 0; again < 2; again++) {
                Thread.sleep(300);
                deployment.submit(job, deployment.daemons().get((first + attempt + again) % 3));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** LOST: each item of an accepted job is to be listed once the runners have had nothing to do for a while. */
    private static int judge(Deployment deployment, Record record, List<Deployment.Job> jobs)
            throws InterruptedException {
        long untilMs = Math.min(record.ms() + 80_000, 110_000);
        int open = 0;
        long calmSinceMs = record.ms();
        while (record.ms() < untilMs) {
            Thread.sleep(500);
            boolean idle = deployment.runners().stream().allMatch(runner -> runner.running() == 0);
            if (!idle) {
                calmSinceMs = record.ms();
            }
            open = 0;
            if (record.ms() - calmSinceMs >= 6_000) {
                for (Deployment.Job job : jobs) {
                    open += job.accepted() ? job.items().size() - deployment.readAll(job).size() : 0;
                }
                if (open == 0 || record.ms() - calmSinceMs >= 18_000) {
                    break;
                }
            }
        }
        boolean broken = false;
        long calmMs = record.ms() - calmSinceMs;
        record.line("judged, " + calmMs + " ms after the runners last had work");
        for (Deployment.Job job : jobs) {
            if (!job.accepted()) {
                record.line("job " + job.id() + " was not accepted");
                continue;
            }
            List<Deployment.Result> results = deployment.readAll(job);
            Set<String> listed = new HashSet<>();
            for (Deployment.Result result : results) {
                boolean whole = result.text().equals(Runner.output(result.id(), EVENTS));
                if (!listed.add(result.id()) || !job.items().contains(result.id()) || !whole) {
                    record.line("MIXED or TWICE: job " + job.id() + " lists " + result.id() + ", " + result.state()
                            + ", whole text: " + whole);
                    broken = true;
                }
            }
            for (String item : job.items()) {
                if (!listed.contains(item)) {
                    Call body = deployment.readBody(job, item, deployment.daemons().get(0));
                    record.line("not listed: item " + item + " of job " + job.id() + ", its body: " + body.status());
                    if (calmMs >= 5_000) {
                        broken = true;
                    }
                }
            }
            record.line("job " + job.id() + ": " + results.size() + " of " + job.items().size() + " items are listed");
        }
        record.line(broken ? "LOST: accepted items are not listed" : "all accepted items are listed");
        return broken ? 1 : 0;
    }
}
