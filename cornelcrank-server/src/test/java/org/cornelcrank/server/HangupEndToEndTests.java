package org.cornelcrank.server;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;

import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.platform.fake.StoreStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a daemon in a process of its own that is told of changed settings. */
class HangupEndToEndTests {

    /** Guards against daemons that end, with their connections, if they are told of changed settings as they start. */
    @Test
    void daemonThatStartsIsNotEndedByAHangup(@TempDir Path directory) throws Exception {
        StoreStandIn store = new StoreStandIn(2);
        store.put("op", "config", RoutesStandIn.table(1, "idem"));
        try (GatewayChildProcess daemon = new GatewayChildProcess(store.address(), directory)) {
            GatewayFleet.await(() -> listens(daemon));
            new ProcessBuilder("kill", "-HUP", Long.toString(daemon.pid()))
                    .start()
                    .waitFor();
            GatewayFleet.await(() -> daemon.output().contains("notified of changed settings") || !daemon.alive());
            GatewayFleet.await(() -> daemon.ready() || !daemon.alive());
            assertThat(daemon.alive()).isTrue();
        } finally {
            store.close();
        }
    }

    private static boolean listens(GatewayChildProcess daemon) {
        try (Socket socket = new Socket("127.0.0.1", daemon.frontPort())) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }
}
