package org.cornelcrank.server.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.function.Function;

import org.cornelcrank.platform.fake.ResponseChecker.Attempt;
import org.cornelcrank.platform.fake.StoreStandIn;
import org.cornelcrank.platform.fake.StoreTrouble;
import org.cornelcrank.platform.fake.StutteringRunnerStandIn;
import org.cornelcrank.server.soak.DaemonProgram.End;

/**
 * Releases a new version of the targets while one daemon, or those of a data centre, are out of step with the others;
 * streams that others began break, and their callers take them up at these daemons.
 *
 * <p>Daemons that are cut off do not reach the store; from the moment at which streams break, the other daemons that are
 * not killed stand still, as a daemon's address for peers is the one that it listens at, which leaves no room for a proxy.
 *
 * <p>Not thread-safe, but for the daemons out of step.
 */
final class SoakRelease {

    private static final long BEFORE_MS = 1_000;
    private static final int MIN_MIXED_MS = 800;
    private static final int MAX_MIXED_MS = 1_600;
    private static final int MIN_AFTER_BREAK_MS = 800;
    private static final int MAX_AFTER_BREAK_MS = 2_000;
    private static final long AFTERWARDS_MS = 1_000;
    private static final int MIN_FREEZE_MS = 1_000;
    private static final int MAX_FREEZE_MS = 4_000;
    private static final int MAX_KILLED = 3;
    private static final int MAX_RESTART_PAUSE_MS = 1_000;
    private static final int LEAVING = 6;
    private static final int OK = 200;
    private static final int REFUSED = 503;

    /** In which way daemons get out of step. */
    enum Kind {
        DATA_CENTRE_CUT_OFF(3_000),
        /** Shorter before the release, as a listing that nobody confirms soon counts no more. */
        CUT_OFF(1_000),
        FROZEN(3_000);

        /** The longest time from the beginning until the new version joins, in ms. */
        private final int maxLeadMs;

        Kind(int maxLeadMs) {
            this.maxLeadMs = maxLeadMs;
        }
    }

    private final Kind kind;
    private final Random random;
    private final SoakShape shape;
    private final StoreStandIn store;
    private final List<DaemonProgram> daemons;
    private final SoakTargets targets;
    private final ExecutorService threads;
    private final List<Future<?>> ends = new ArrayList<>();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private volatile List<Integer> outOfStep = List.of();
    private List<String> hosts = List.of();
    private String newVersion = "";
    private long fromMs;
    private long untilMs;

    /** Creates a release; seeds that follow each other play the kinds in turn. */
    SoakRelease(
            long seed,
            SoakShape shape,
            StoreStandIn store,
            List<DaemonProgram> daemons,
            SoakTargets targets,
            ExecutorService threads) {
        this.kind = Kind.values()[(int) Math.floorMod(seed - 1, (long) Kind.values().length)];
        this.random = new Random(seed);
        this.shape = shape;
        this.store = store;
        this.daemons = daemons;
        this.targets = targets;
        this.threads = threads;
    }

    /** Returns the daemons at which callers take up streams now, by their numbers; empty if at any. */
    List<Integer> outOfStep() {
        return outOfStep;
    }

    /** Plays the release, and returns once all daemons run and are in touch again. */
    void run(Collection<SoakCaller> callers) throws IOException, InterruptedException {
        Thread.sleep(BEFORE_MS);
        List<Integer> affected = drawAffected();
        hosts = affected.stream().map(number -> daemons.get(number).host()).toList();
        fromMs = System.currentTimeMillis();
        outOfStep = affected;
        List<StoreTrouble> troubles = kind == Kind.FROZEN ? freeze(affected) : cutOffStore();
        Thread.sleep(random.nextInt(kind.maxLeadMs));
        release(random.nextInt(MIN_MIXED_MS, MAX_MIXED_MS));
        long afterBreakMs = random.nextInt(MIN_AFTER_BREAK_MS, MAX_AFTER_BREAK_MS);
        breakStreams(affected, afterBreakMs, callers);
        Thread.sleep(afterBreakMs);
        troubles.forEach(store::end);
        note("IN STEP " + hosts);
        Thread.sleep(AFTERWARDS_MS);
        outOfStep = List.of();
        untilMs = System.currentTimeMillis();
        awaitEnds();
    }

    private List<Integer> drawAffected() {
        int first = random.nextInt(daemons.size());
        List<Integer> affected = new ArrayList<>();
        for (int number = 0; number < daemons.size(); number++) {
            boolean sameDataCentre = shape.dataCentre(number).equals(shape.dataCentre(first));
            if (number == first || kind == Kind.DATA_CENTRE_CUT_OFF && sameDataCentre) {
                affected.add(number);
            }
        }
        return affected;
    }

    private List<StoreTrouble> freeze(List<Integer> affected) {
        long durationMs = random.nextInt(MIN_FREEZE_MS, MAX_FREEZE_MS);
        note("%s %s for %d ms".formatted(kind, hosts, durationMs));
        affected.forEach(number -> later(() -> daemons.get(number).freeze(durationMs)));
        return List.of();
    }

    private List<StoreTrouble> cutOffStore() {
        note(kind + " " + hosts);
        List<StoreTrouble> troubles = hosts.stream()
                .map(host -> new StoreTrouble(
                        StoreTrouble.Kind.SILENT, Optional.of(host), Optional.empty(), Optional.empty(), 0))
                .toList();
        troubles.forEach(store::begin);
        store.silenceOpenConnections(hosts::contains);
        return troubles;
    }

    /** Lets as many targets of a new version join as there were at first, and some of the former ones leave in turn. */
    private void release(long durationMs) throws IOException, InterruptedException {
        note("RELEASE");
        newVersion = targets.joinNewVersion();
        long pauseMs = durationMs / (2 * LEAVING);
        for (int i = 0; i < LEAVING; i++) {
            StutteringRunnerStandIn leaving = targets.leaveFirst();
            note("LEAVE " + leaving.id());
            Thread.sleep(pauseMs);
            targets.remove(leaving);
        }
        Thread.sleep(durationMs - LEAVING * pauseMs);
    }

    private void breakStreams(List<Integer> affected, long durationMs, Collection<SoakCaller> callers) {
        List<DaemonProgram> others = new ArrayList<>(daemons);
        others.removeIf(daemon -> hosts.contains(daemon.host()));
        Collections.shuffle(others, random);
        int killed = random.nextInt(1, MAX_KILLED + 1);
        for (DaemonProgram daemon : others.subList(0, killed)) {
            long pauseMs = durationMs + random.nextInt(MAX_RESTART_PAUSE_MS);
            note("KILL " + daemon.host());
            later(() -> daemon.restart(End.KILL, pauseMs));
        }
        if (kind != Kind.FROZEN) {
            note("OTHERS STAND STILL for " + durationMs + " ms");
            others.subList(killed, others.size()).forEach(daemon -> later(() -> daemon.freeze(durationMs)));
        }
        callers.forEach(caller -> caller.resetUnlessAt(affected));
    }

    private void later(Step step) {
        ends.add(threads.submit(() -> {
            step.run();
            return null;
        }));
    }

    private void awaitEnds() throws InterruptedException {
        for (Future<?> end : ends) {
            try {
                end.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException("a release must end", e);
            }
        }
    }

    private void note(String what) {
        log.add(System.currentTimeMillis() + " " + what);
    }

    List<String> log() {
        return log;
    }

    /**
     * Returns how the streams fared that were taken up in the release.
     *
     * @param versions returns the version that began a stream, empty if it is not known
     */
    String summary(Collection<Attempt> attempts, Function<String, Optional<String>> versions) {
        List<Attempt> takeUps = attempts.stream()
                .filter(attempt -> attempt.resumedAfter() > 0 && attempt.atMs() >= fromMs && attempt.atMs() <= untilMs)
                .toList();
        List<Attempt> here = takeUps.stream()
                .filter(attempt -> hosts.contains(attempt.daemon()))
                .toList();
        long ofNewVersion = here.stream()
                .filter(attempt -> versions.apply(attempt.resumes())
                        .filter(newVersion::equals)
                        .isPresent())
                .count();
        return "%s %s: %d take-ups, %d of them at daemons out of step, of which %d began with the new version, %d went on and %d were refused"
                .formatted(
                        kind, hosts, takeUps.size(), here.size(), ofNewVersion, count(here, OK), count(here, REFUSED));
    }

    private static long count(List<Attempt> attempts, int status) {
        return attempts.stream().filter(attempt -> attempt.status() == status).count();
    }

    /** A step that ends later. */
    private interface Step {
        void run() throws IOException, InterruptedException;
    }
}
