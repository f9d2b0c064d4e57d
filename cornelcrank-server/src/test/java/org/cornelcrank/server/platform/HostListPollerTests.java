package org.cornelcrank.server.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.standin.Faults;
import org.cornelcrank.standin.HostListSettings;
import org.cornelcrank.standin.HostListStandIn;
import org.cornelcrank.standin.ListedHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;

import static org.assertj.core.api.Assertions.assertThat;

class HostListPollerTests {

    private static final long HANG_LIMIT_S = 30;

    private final BlockingQueue<Event.HostListRead> lists = new LinkedBlockingQueue<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final CoreLoop loop = new CoreLoop(
            new DaemonCore(List.of(new ListRecorder(lists)), new DecisionJournal(1, 1), dispatch -> {}),
            new MonotonicClock(),
            metrics);
    private final HostListStandIn standIn =
            new HostListStandIn(HostListSettings.defaults().withLagMs(0));
    private Disposable polling;

    @BeforeEach
    void start() {
        standIn.start();
        standIn.setHosts(List.of(host("a")));
        polling = new HostListPoller(
                        "http://" + standIn.address(), Duration.ofMillis(5), loop, new ObjectMapper(), metrics)
                .start();
    }

    @AfterEach
    void stop() {
        polling.dispose();
        loop.stop();
        standIn.close();
    }

    @Test
    void unchangedListIsPostedAgainAndAChangeIsDetected() throws InterruptedException {
        assertThat(names(next())).containsExactly("a");
        assertThat(names(next())).containsExactly("a");
        standIn.setHosts(List.of(host("a"), host("b")));
        List<String> latest = names(next());
        while (latest.size() < 2) {
            latest = names(next());
        }
        assertThat(latest).containsExactly("a", "b");
    }

    @Test
    void unreadableListIsCountedAndNotTreatedAsEmpty() throws InterruptedException {
        next();
        standIn.setFaults(Faults.NONE.withOutage(true));
        while (metrics.counter("hosts.read-failures").getCount() == 0) {
            Thread.onSpinWait();
        }
        assertThat(lists).allSatisfy(list -> assertThat(names(list)).containsExactly("a"));
    }

    private Event.HostListRead next() throws InterruptedException {
        return lists.poll(HANG_LIMIT_S, TimeUnit.SECONDS);
    }

    private static List<String> names(Event.HostListRead list) {
        return list.hosts().stream().map(HostEntry::name).toList();
    }

    private static ListedHost host(String name) {
        return new ListedHost(name, "target", "zapad", "trnava-a", "127.0.0.1:1", List.of("stav-app"), false);
    }

    /** Records the host lists that it receives. */
    private record ListRecorder(BlockingQueue<Event.HostListRead> lists) implements StateMachine {

        @Override
        public String name() {
            return "keeper";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            if (event instanceof Event.HostListRead list) {
                lists.add(list);
            }
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {
            writer.field("lists", lists.size());
        }
    }
}
