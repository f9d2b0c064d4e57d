package org.cornelcrank.server.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

import org.cornelcrank.platform.fake.LinkFault;
import org.cornelcrank.platform.fake.LinkFault.Kind;
import org.cornelcrank.platform.fake.LinkShape;
import org.cornelcrank.platform.fake.StoreStandIn;
import org.cornelcrank.platform.fake.TargetLinks;

/**
 * Disrupts the links of a soak between daemons and targets: those of one daemon or more to all targets or to some fail in
 * one way for open connections and in one for new ones. Faults overlap each other and all other disruptions.
 *
 * <p>Not thread-safe, but for the log.
 */
final class SoakLinkFaults implements AutoCloseable {

    private static final int MAX_PAUSE_MS = 6_000;
    private static final int MIN_DURATION_MS = 500;
    private static final int MAX_DURATION_MS = 6_000;
    private static final int MAX_DELAY_MS = 500;
    private static final int MAX_TARGETS = 32;
    private static final Kind[] OPEN = {Kind.SOUND, Kind.DELAYED, Kind.SILENT, Kind.SILENT, Kind.RESET};
    private static final Kind[] FRESH = {
        Kind.SOUND, Kind.DELAYED, Kind.SILENT, Kind.HANGING, Kind.HANGING, Kind.RESET, Kind.REFUSED, Kind.REFUSED
    };

    private final Random random;
    private final ExecutorService threads;
    private final Map<String, TargetLinks> links = new TreeMap<>();
    private final List<String> log = new CopyOnWriteArrayList<>();

    SoakLinkFaults(Random random, ExecutorService threads) {
        this.random = random;
        this.threads = threads;
    }

    /** Returns the address of the store from which a daemon learns its own addresses of the targets. */
    String storeAddress(StoreStandIn store, String host, Function<String, LinkShape> shapes) {
        TargetLinks ofHost = new TargetLinks(shapes);
        links.put(host, ofHost);
        return store.addressFor(host, ofHost);
    }

    /** Disrupts for that long, and returns once all links are sound. */
    void run(long durationMs) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
        List<Future<?>> ends = new ArrayList<>();
        Thread.sleep(random.nextInt(MAX_PAUSE_MS));
        for (long leftMs = leftMs(untilNanos); leftMs > 0; leftMs = leftMs(untilNanos)) {
            ends.add(disrupt(leftMs));
            Thread.sleep(random.nextInt(MAX_PAUSE_MS));
        }
        for (Future<?> end : ends) {
            try {
                end.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException("a fault of links must end", e);
            }
        }
    }

    private static long leftMs(long untilNanos) {
        return TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
    }

    private Future<?> disrupt(long leftMs) {
        Kind open = OPEN[random.nextInt(OPEN.length)];
        Kind fresh = FRESH[random.nextInt(FRESH.length)];
        LinkFault fault = new LinkFault(open, fresh, random.nextInt(MAX_DELAY_MS));
        List<String> hosts = new ArrayList<>(links.keySet());
        while (hosts.size() > 1 && random.nextInt(3) > 0) {
            hosts.remove(random.nextInt(hosts.size()));
        }
        boolean partial = random.nextInt(3) == 0;
        boolean[] affected = new boolean[MAX_TARGETS];
        IntStream.range(0, MAX_TARGETS).forEach(number -> affected[number] = !partial || random.nextBoolean());
        IntPredicate targets = number -> affected[number % MAX_TARGETS];
        long durationMs = Math.min(leftMs, random.nextInt(MIN_DURATION_MS, MAX_DURATION_MS));
        log.add("%d LINKS of %s to %s targets, %s for %d ms"
                .formatted(System.currentTimeMillis(), hosts, partial ? "some" : "all", fault, durationMs));
        return threads.submit(() -> {
            hosts.forEach(host -> links.get(host).begin(fault, targets));
            Thread.sleep(durationMs);
            hosts.forEach(host -> links.get(host).end(fault, targets));
            return null;
        });
    }

    List<String> log() {
        return log;
    }

    @Override
    public void close() {
        links.values().forEach(TargetLinks::close);
    }
}
