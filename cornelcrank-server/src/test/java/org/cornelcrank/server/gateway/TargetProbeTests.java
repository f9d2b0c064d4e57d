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
    void runningTargetIsListening() throws IOException {
        try (ServerSocket target = listen()) {
            CompletableFuture<Boolean> listening =
                    probe.isListening(address(target)).toFuture();
            target.accept().close();
            passPause();
            assertThat(listening.join()).isTrue();
        }
    }

    /** A stopping target closes its connections before its listener, so that a first connection may still succeed. */
    @Test
    void stoppingTargetIsNotListening() throws IOException {
        ServerSocket target = listen();
        CompletableFuture<Boolean> listening =
                probe.isListening(address(target)).toFuture();
        target.accept().close();
        target.close();
        passPause();
        assertThat(listening.join()).isFalse();
    }

    @Test
    void stoppedTargetIsNotListening() throws IOException {
        ServerSocket target = listen();
        target.close();
        StepVerifier.create(probe.isListening(address(target)))
                .expectNext(false)
                .verifyComplete();
    }

    @Test
    void concurrentProbesShareOneConnection() throws IOException {
        try (ServerSocket target = listen()) {
            Mono<Boolean> first = probe.isListening(address(target));
            assertThat(probe.isListening(address(target))).isSameAs(first);
        }
    }

    @Test
    void targetThatAcceptsOneConnectionCanBeConnectedTo() throws IOException {
        try (ServerSocket target = listen()) {
            StepVerifier.create(probe.canConnect(address(target)))
                    .expectNext(true)
                    .verifyComplete();
        }
    }

    @Test
    void stoppedTargetCannotBeConnectedTo() throws IOException {
        ServerSocket target = listen();
        target.close();
        StepVerifier.create(probe.canConnect(address(target))).expectNext(false).verifyComplete();
    }

    @Test
    void concurrentConnectsShareOneConnectionAndLaterOnesDoNot() throws IOException {
        try (ServerSocket target = listen()) {
            Mono<Boolean> first = probe.canConnect(address(target));
            assertThat(probe.canConnect(address(target))).isSameAs(first);
            StepVerifier.create(first).expectNext(true).verifyComplete();
            assertThat(probe.canConnect(address(target))).isNotSameAs(first);
        }
    }

    /** Waits until the pause has begun, then advances the time past it. */
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
