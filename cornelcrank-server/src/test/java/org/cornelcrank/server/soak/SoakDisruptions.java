package org.cornelcrank.server.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;

import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.platform.fake.StoreStandIn;
import org.cornelcrank.platform.fake.StutteringRunnerStandIn;
import org.cornelcrank.server.soak.DaemonProgram.End;

/**
 * Disrupts a soak: daemons end and start again, routes change, targets leave and join. One follows the other after a
 * pause, and most last longer than the pause.
 *
 * <p>Not thread-safe.
 */
final class SoakDisruptions {

    private static final int MAX_PAUSE_MS = 3_000;
    private static final int MAX_RESTART_PAUSE_MS = 1_000;
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
    private final List<Future<?>> restarts = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private int routesVersion;

    SoakDisruptions(
            Random random,
            StoreStandIn store,
            List<DaemonProgram> daemons,
            SoakTargets targets,
            ExecutorService threads) {
        this.random = random;
        this.store = store;
        this.daemons = daemons;
        this.targets = targets;
        this.threads = threads;
    }

    void changeRoutes() {
        store.put("op", "config", RoutesStandIn.table(routesVersion + 1, ROUTES[routesVersion % ROUTES.length]));
        routesVersion++;
    }

    /** Disrupts for that long, and returns once all daemons are ready again. */
    void run(long durationMs) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        while ((System.nanoTime() - startNanos) / 1_000_000 < durationMs) {
            Thread.sleep(random.nextInt(MAX_PAUSE_MS));
            disrupt();
        }
        for (Future<?> restart : restarts) {
            try {
                restart.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException("a daemon must start again", e);
            }
        }
        for (DaemonProgram daemon : daemons) {
            daemon.awaitReady();
        }
    }

    private void disrupt() throws IOException, InterruptedException {
        int kind = random.nextInt(8);
        DaemonProgram daemon = daemons.get(random.nextInt(daemons.size()));
        long pauseMs = random.nextInt(MAX_RESTART_PAUSE_MS);
        if (kind < 4) {
            End end = kind < 2 ? End.TERMINATE : End.KILL;
            note(end + " " + daemon.host());
            restarts.add(threads.submit(() -> {
                daemon.restart(end, pauseMs);
                return null;
            }));
        } else if (kind < 6) {
            note("ROUTES");
            changeRoutes();
        } else {
            StutteringRunnerStandIn leaving = targets.leave(random);
            note("LEAVE " + leaving.id());
            targets.join(leaving.rates());
            Thread.sleep(DRAINING_MS);
            targets.remove(leaving);
        }
    }

    private void note(String what) {
        log.add(System.currentTimeMillis() + " " + what);
    }

    List<String> log() {
        return log;
    }
}
