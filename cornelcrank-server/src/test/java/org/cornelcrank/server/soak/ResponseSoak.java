package org.cornelcrank.server.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.cornelcrank.platform.fake.ResponseChecker;
import org.cornelcrank.platform.fake.ResponseChecker.Attempt;
import org.cornelcrank.platform.fake.ResponseLedger;
import org.cornelcrank.platform.fake.ResponseLedger.WrittenCopy;
import org.cornelcrank.platform.fake.StoreStandIn;

/**
 * Daemons in processes of their own, targets that write responses twice, callers, and disruptions, all drawn from one
 * seed; the timing of the processes is not.
 *
 * <p>Not thread-safe.
 */
final class ResponseSoak implements AutoCloseable {

    private static final int DAEMONS = 3;
    private static final int CALLERS = 24;
    private static final long END_TIMEOUT_S = 30;

    private final long seed;
    private final Path directory;
    private final Random random;
    private final StoreStandIn store = new StoreStandIn(2);
    private final ResponseLedger ledger = new ResponseLedger();
    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final List<DaemonProgram> daemons = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Thread cleaner = new Thread(this::closeDaemons);
    private final SoakTargets targets;
    private final SoakDisruptions disruptions;
    private volatile boolean stopped;
    private SoakJobs jobs;

    ResponseSoak(long seed, Path logs) throws IOException {
        this.seed = seed;
        this.random = new Random(seed);
        this.directory = Files.createDirectories(logs.resolve("seed-" + seed));
        Runtime.getRuntime().addShutdownHook(cleaner);
        targets = new SoakTargets(seed, random, store, ledger);
        disruptions = new SoakDisruptions(random, store, daemons, targets, threads);
    }

    /** Runs and returns what was wrong. */
    List<String> run(long durationMs) throws IOException, InterruptedException {
        disruptions.changeRoutes();
        for (int i = 0; i < DAEMONS; i++) {
            daemons.add(new DaemonProgram("host-" + i, store.address(), directory));
            daemons.get(i).start();
        }
        for (DaemonProgram daemon : daemons) {
            daemon.awaitReady();
        }
        for (int i = 0; i < CALLERS; i++) {
            threads.execute(
                    new SoakCaller("caller-" + i, seed * CALLERS + i, daemons, i % DAEMONS, attempts, () -> stopped));
        }
        jobs = new SoakJobs(seed, daemons, () -> stopped);
        threads.execute(jobs);
        disruptions.run(durationMs);
        stopped = true;
        threads.shutdown();
        if (!threads.awaitTermination(END_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the callers must end");
        }
        return check();
    }

    private List<String> check() throws IOException, InterruptedException {
        ResponseChecker checker = new ResponseChecker(ledger);
        jobs.check(checker, ledger);
        attempts.forEach(checker::check);
        for (DaemonProgram daemon : daemons) {
            if (!daemon.alive()) {
                checker.report("ENDED", "a process has ended by itself", daemon.host());
            }
            List<String> open = daemon.awaitNoOpenRequests();
            if (!open.isEmpty()) {
                checker.report("OPEN", "requests stay open without a caller", daemon.host() + ": " + open);
            }
        }
        Files.write(directory.resolve("faults.txt"), checker.faults());
        Files.write(directory.resolve("disruptions.txt"), disruptions.log());
        Files.writeString(directory.resolve("summary.txt"), summary() + ", faults " + checker.counts() + "\n");
        return checker.faults();
    }

    /** Returns what the run consisted of. */
    String summary() {
        var statuses =
                attempts.stream().collect(Collectors.groupingBy(Attempt::status, TreeMap::new, Collectors.counting()));
        List<WrittenCopy> copies = ledger.copies();
        long reused = copies.stream().filter(WrittenCopy::onReusedConnection).count();
        return "seed %d: %d requests, statuses %s, %d responses written, %d copies, %d of them on a connection in use again, %d disruptions, %s"
                .formatted(
                        seed,
                        attempts.size(),
                        statuses,
                        ledger.all().size(),
                        copies.size(),
                        reused,
                        disruptions.log().size(),
                        jobs);
    }

    private void closeDaemons() {
        daemons.forEach(DaemonProgram::close);
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        threads.shutdownNow();
        threads.awaitTermination(END_TIMEOUT_S, TimeUnit.SECONDS);
        closeDaemons();
        Runtime.getRuntime().removeShutdownHook(cleaner);
        targets.close();
        store.close();
    }
}
