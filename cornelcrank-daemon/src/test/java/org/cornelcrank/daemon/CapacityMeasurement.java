package org.cornelcrank.daemon;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.routing.OnlineRequest;
import org.cornelcrank.routing.RequestOptions;

/**
 * Measures the cost of a daemon's decision core as the fleet grows; run by {@code bin/measure-capacity}.
 *
 * <p>Each table varies one dimension and prints CPU time, messages, bytes and memory per daemon, which shows how the
 * cost scales. All times except the CPU time are virtual.
 */
public final class CapacityMeasurement {

    private static final long SETTLE_MS = 30_000;
    private static final long MEASURED_MS = 20_000;
    private static final double NANOS_PER_MS = 1e6;
    private static final double BYTES_PER_MB = 1_048_576;

    private CapacityMeasurement() {}

    /** Prints all tables. */
    public static void main(String[] args) {
        measureIdle(20, 16);
        System.out.println("| daemons | targets | core % each | heap MB each | messages/s each | sent bytes/s each |");
        System.out.println("|---|---|---|---|---|---|");
        for (int daemons : new int[] {10, 50, 100, 200}) {
            measureIdle(daemons, 100);
        }
        for (int targets : new int[] {50, 400, 800, 1_600}) {
            measureIdle(20, targets);
        }
        for (int daemons : new int[] {40, 80, 160}) {
            measureIdle(daemons, 1_600);
        }
        System.out.println();
        System.out.println("| requests | core microseconds each | messages each |");
        System.out.println("|---|---|---|");
        measureRequests(2_000);
        for (int requests : new int[] {1_000, 2_000, 4_000, 8_000}) {
            measureRequests(requests);
        }
    }

    private static void measureIdle(int daemons, int targets) {
        long before = usedBytes();
        VirtualDaemons virtual = new VirtualDaemons(1, daemons, targets);
        virtual.runFor(SETTLE_MS);
        Traffic traffic = new Traffic();
        virtual.onEffect(traffic::count);
        long startNanos = processorNanos();
        virtual.runFor(MEASURED_MS);
        double usedMs = (processorNanos() - startNanos) / NANOS_PER_MS;
        double heapMb = (usedBytes() - before) / BYTES_PER_MB / daemons;
        double seconds = MEASURED_MS / 1_000.0 * daemons;
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %.3f | %.2f | %.1f | %.0f |%n",
                daemons,
                targets,
                100.0 * usedMs / MEASURED_MS / daemons,
                heapMb,
                traffic.messages / seconds,
                traffic.bytes / seconds);
        if (virtual.cores.isEmpty()) {
            throw new IllegalStateException("the daemons must be reachable until they are measured");
        }
    }

    private static void measureRequests(int requests) {
        VirtualDaemons virtual = VirtualDaemons.serving(2, 10, 40);
        List<HostId> hosts = List.copyOf(virtual.cores.keySet());
        Traffic traffic = new Traffic();
        virtual.onEffect(traffic::count);
        virtual.runFor(5_000);
        long idleMessages = traffic.messages;
        long startNanos = processorNanos();
        for (int i = 0; i < requests; i++) {
            virtual.submit(hosts.get(i % hosts.size()), VirtualDaemons.CALLER, request(virtual, i));
            virtual.runFor(1);
        }
        virtual.runFor(200);
        double usedMicros = (processorNanos() - startNanos) / 1_000.0;
        double idleShare = idleMessages * (requests + 200) / 5_000.0;
        System.out.printf(
                Locale.ROOT,
                "| %d | %.1f | %.2f |%n",
                requests,
                usedMicros / requests,
                (traffic.messages - idleMessages - idleShare) / requests);
    }

    private static OnlineRequest request(VirtualDaemons virtual, int number) {
        return new OnlineRequest(
                VirtualDaemons.TEAM,
                new ServiceName(VirtualDaemons.SERVICE),
                Urgency.IMMEDIATE,
                virtual.nowMs() + 5_000,
                true,
                false,
                List.of((long) (number % 50)),
                List.of(),
                number,
                64,
                true,
                RequestOptions.DEFAULTS);
    }

    private static long processorNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Counts messages and their encoded bytes. */
    private static final class Traffic {

        private final List<PeerMessageCodec> codecs = DaemonAssembly.codecs();
        private long messages;
        private long bytes;

        boolean count(VirtualDaemons.EffectPoint point) {
            if (point.effect() instanceof Effect.Send send && !send.to().equals(point.host())) {
                messages++;
                bytes += codecs.stream()
                        .filter(codec -> codec.supports(send.message()))
                        .mapToInt(codec -> codec.encode(send.message()).size())
                        .sum();
            }
            return false;
        }
    }
}
