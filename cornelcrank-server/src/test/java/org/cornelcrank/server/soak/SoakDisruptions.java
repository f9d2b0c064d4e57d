package org.cornelcrank.server.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;

import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.platform.fake.StoreStandIn;
import org.cornelcrank.platform.fake.StutteringRunnerStandIn;
import org.cornelcrank.server.soak.DaemonProgram.End;

/**
 * Disrupts a soak: daemons end and start again, routes change, targets leave and join, the store
 * has troubles if it is to have some. One follows the other after a
 * pause, and most last longer than the pause.
 *
 * <p>Not thread-safe.
 */
final class SoakDisruptions {

    private static final int MAX_PAUSE_MS = 3_000;
    private static final int MAX_TROUBLED_PAUSE_MS = 1_200;
    private static final int MAX_RESTART_PAUSE_MS = 1_000;
    private static final int MIN_FREEZE_MS = 1_000;
    private static final int MAX_FREEZE_MS = 4_000;
    private static final long DRAINING_MS = 500;
    private static final String[][] ROUTES = {
        {"idem", "unsafe", "stream", "once", "stream-once", "batch"},
        {"idem", "unsafe", "stream", "once", "stream-once", "batch", "stream-split"},
        {"idem", "unsafe", "stream", "once", "batch"}
    };

    private final Random random;
    private final StoreStandIn store;
    private final List<DaemonProgram> daemons;
    private final SoakTargets targets;
    private final ExecutorService threads;
    private final Optional<SoakStoreTroubles> storeTroubles;
    private final List<Future<?>> ends = new ArrayList<>();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private int routesVersion;

    SoakDisruptions(
            Random random,
            StoreStandIn store,
            List<DaemonProgram> daemons,
            SoakTargets targets,
            ExecutorService threads,
            Optional<SoakStoreTroubles> storeTroubles) {
        this.random = random;
        this.store = store;
        this.daemons = daemons;
        this.targets = targets;
        this.threads = threads;
        this.storeTroubles = storeTroubles;
    }

    void changeRoutes() {
        store.put("op", "config", RoutesStandIn.table(routesVersion + 1, ROUTES[routesVersion % ROUTES.length]));
        routesVersion++;
    }

    /** Upgrades some of the daemons, or all, one after the other within that time. */
    void upgradeOneByOne(long durationMs) {
        int upgraded = random.nextInt(1, daemons.size() + 1);
        long intervalMs = durationMs / (upgraded + 1);
        ends.add(threads.submit(() -> {
            for (DaemonProgram daemon : daemons.subList(0, upgraded)) {
                Thread.sleep(intervalMs);
                note("UPGRADE " + daemon.host());
                daemon.upgrade();
            }
            return null;
        }));
    }

    /** Disrupts for that long, and returns once all daemons are ready again. */
    void run(long durationMs) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        while ((System.nanoTime() - startNanos) / 1_000_000 < durationMs) {
            Thread.sleep(random.nextInt(storeTroubles.isPresent() ? MAX_TROUBLED_PAUSE_MS : MAX_PAUSE_MS));
            disrupt();
        }
        for (Future<?> end : ends) {
            try {
                end.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException("a disruption must end", e);
            }
        }
        for (DaemonProgram daemon : daemons) {
            daemon.awaitReady();
        }
    }

    private void disrupt() throws IOException, InterruptedException {
        int kind = random.nextInt(storeTroubles.isPresent() ? 20 : 8);
        DaemonProgram daemon = daemons.get(random.nextInt(daemons.size()));
        long pauseMs = random.nextInt(MAX_RESTART_PAUSE_MS);
        if (kind < 4) {
            End end = kind < 2 ? End.TERMINATE : End.KILL;
            note(end + " " + daemon.host());
            ends.add(threads.submit(() -> {
                daemon.restart(end, pauseMs);
                return null;
            }));
        } else if (kind < 6) {
            note("ROUTES");
            changeRoutes();
        } else if (kind < 8) {
            StutteringRunnerStandIn leaving = targets.leave(random);
            note("LEAVE " + leaving.id());
            targets.join(leaving.rates());
            Thread.sleep(DRAINING_MS);
            targets.remove(leaving);
        } else if (kind < 10) {
            long durationMs = random.nextInt(MIN_FREEZE_MS, MAX_FREEZE_MS);
            note("FREEZE " + daemon.host() + " for " + durationMs + " ms");
            ends.add(threads.submit(() -> {
                daemon.freeze(durationMs);
                return null;
            }));
        } else {
            note(storeTroubles.orElseThrow().disrupt(ends));
        }
    }

    private void note(String what) {
        log.add(System.currentTimeMillis() + " " + what);
    }

    List<String> log() {
        return log;
    }
}
