package org.cornelcrank.server;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.platform.fake.StoreStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a daemon in a process of its own that is told of changed settings. */
class HangupEndToEndTests {

    /** The mask of ignored signals, of which SIGHUP is the lowest bit. */
    private static final Pattern IGNORED_SIGNALS = Pattern.compile("SigIgn:\\s+(\\p{XDigit}+)");

    private static final int HEX = 16;

    /** Guards against daemons that end, with their connections, if they are told of changed settings as they start. */
    @Test
    void daemonThatStartsIsNotEndedByAHangup(@TempDir Path directory) throws Exception {
        assertThat(hangupIsIgnored())
                .as("whether this process, as one started by nohup, ignores SIGHUP")
                .isFalse();
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

    /** Returns whether this process ignores SIGHUP; the daemon inherits that, and is never notified. */
    private static boolean hangupIsIgnored() throws IOException {
        Matcher matcher = IGNORED_SIGNALS.matcher(Files.readString(Path.of("/proc/self/status")));
        assertThat(matcher.find()).isTrue();
        return (Long.parseUnsignedLong(matcher.group(1), HEX) & 1) == 1;
    }

    private static boolean listens(GatewayChildProcess daemon) {
        try (Socket socket = new Socket("127.0.0.1", daemon.frontPort())) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }
}
