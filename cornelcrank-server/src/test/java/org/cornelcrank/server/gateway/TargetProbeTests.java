package org.cornelcrank.server.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;
import reactor.test.StepVerifier;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

class TargetProbeTests {

    private final LoopResources loops = LoopResources.create("probe", 1, true);
    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final TargetProbe probe = new TargetProbe(loops, time);

    @AfterEach
    void stop() {
        loops.dispose();
    }

    @Test
    void aTargetThatGoesOnListens() throws IOException {
        try (ServerSocket target = listen()) {
            CompletableFuture<Boolean> listens = probe.listens(address(target)).toFuture();
            target.accept().close();
            passPause();
            assertThat(listens.join()).isTrue();
        }
    }

    /** Its connections break before its listener closes, so that a first connection may still come about. */
    @Test
    void aTargetThatIsEndingIsGone() throws IOException {
        ServerSocket target = listen();
        CompletableFuture<Boolean> listens = probe.listens(address(target)).toFuture();
        target.accept().close();
        target.close();
        passPause();
        assertThat(listens.join()).isFalse();
    }

    @Test
    void aTargetThatHasEndedIsGone() throws IOException {
        ServerSocket target = listen();
        target.close();
        StepVerifier.create(probe.listens(address(target))).expectNext(false).verifyComplete();
    }

    @Test
    void whoAsksMeanwhileSharesTheConnection() throws IOException {
        try (ServerSocket target = listen()) {
            Mono<Boolean> first = probe.listens(address(target));
            assertThat(probe.listens(address(target))).isSameAs(first);
        }
    }

    /** Lets the pause pass once it has begun. */
    private void passPause() {
        while (time.getScheduledTaskCount() == 0) {
            Thread.onSpinWait();
        }
        time.advanceTimeBy(Duration.ofMillis(TargetProbe.CONFIRM_PAUSE_MS));
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    private static InetSocketAddress address(ServerSocket target) {
        return new InetSocketAddress(target.getInetAddress(), target.getLocalPort());
    }
}
