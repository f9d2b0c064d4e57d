package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * The operator adds a batch route, and clients submit batch jobs under it, while the store turns a third of the daemons
 * away for 2 s. The runners are sound and fail nothing.
 */
public final class Case6 {

    private static final int DAEMONS = 6;
    private static final int EVENTS = 40;
    private static final long EVENT_MS = 25;
    private static final int JOBS = 24;
    private static final int ITEMS = 10;
    private static final int BODY_BYTES = 15_000;
    private static final long AWAY_MS = 2_000;
    private static final String ADDED = "/lohu930/";

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[1]).resolve("record.txt"));
        Deployment deployment = new Deployment(Path.of(args[0]), Path.of(args[2]), record);
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
        for (int i = 0; i < 6; i++) {
            deployment.addRunner(EVENTS, EVENT_MS);
        }
        deployment.configure(60);
        for (int i = 0; i < DAEMONS; i++) {
            deployment.addDaemon();
        }
        if (!deployment.startAll()) {
            return 2;
        }
        Thread.sleep(10_000);
        List<Daemon> away = deployment.daemons().subList(DAEMONS - DAEMONS / 3, DAEMONS);
        List<Daemon> served = deployment.daemons().subList(0, DAEMONS - DAEMONS / 3);
        if (trouble) {
            record.line("trouble: for " + AWAY_MS + " ms the store answers 503 to "
                    + away.stream().map(Daemon::name).toList());
            deployment.store().turnAway(Set.copyOf(away.stream().map(Daemon::name).toList()));
        }
        long awayUntilMs = record.ms() + AWAY_MS;
        Thread.sleep(500);
        deployment.configure(12, 60, "/pule252/", ADDED);
        Thread.sleep(500);
        Random random = new Random(6);
        List<Deployment.Job> jobs = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            Deployment.Job job = new Deployment.Job(random, ITEMS, BODY_BYTES, ADDED);
            Daemon daemon = served.get(i % served.size());
            jobs.add(job);
            Thread client = new Thread(() -> deployment.submit(job, daemon));
            client.start();
            clients.add(client);
            Thread.sleep(25);
        }
        Thread.sleep(Math.max(0, awayUntilMs - record.ms()));
        deployment.store().turnAway(Set.of());
        record.line("the store serves all daemons again");
        for (Thread client : clients) {
            client.join();
        }
        return judge(deployment, record, jobs);
    }

    /** MIXED: a result is dead_lettered before a 422, failed attempts, retentionS, the end of its job or of its route. */
    private static int judge(Deployment deployment, Record record, List<Deployment.Job> jobs)
            throws InterruptedException {
        boolean broken = false;
        for (Deployment.Job job : jobs) {
            if (!job.accepted()) {
                record.line("job " + job.id() + " was not accepted");
                continue;
            }
            List<Deployment.Result> results = deployment.readAll(job);
            while (results.size() < job.items().size() && record.ms() < 55_000) {
                Thread.sleep(500);
                results = deployment.readAll(job);
            }
            int dead = 0;
            int notWhole = 0;
            int runs = 0;
            for (Deployment.Result result : results) {
                if (!result.state().equals("completed")) {
                    dead++;
                } else if (!result.text().equals(Runner.output(result.id(), EVENTS))) {
                    notWhole++;
                }
                for (Runner runner : deployment.runners()) {
                    runs += runner.runs(result.id());
                }
            }
            record.line("job " + job.id() + ": " + results.size() + " of " + job.items().size() + " items are listed, "
                    + dead + " as dead_lettered, " + notWhole + " not whole; runs at runners: " + runs);
            broken |= dead > 0 || notWhole > 0 || results.size() < job.items().size();
        }
        record.line(broken ? "MIXED: items of accepted jobs are dead_lettered without a reason" : "all items are completed");
        return broken ? 1 : 0;
    }
}
