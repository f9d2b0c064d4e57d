package org.cornelcrank.cli;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.Map;

import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.client.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the error message if no daemon responds at the URL, or if its response is not valid. */
class DaemonClientTests {

    @Test
    void refusedConnectionIsReportedInOneLine() throws IOException {
        int port;
        try (ServerSocket unused = new ServerSocket(0)) {
            port = unused.getLocalPort();
        }
        ProgramRun run = ProgramRun.of(Map.of("CORNELCRANK_URL", "http://127.0.0.1:" + port), "config", "list");
        assertThat(run.exitCode()).isEqualTo(ExitCode.UNREACHABLE.number());
        assertThat(run.out()).isEmpty();
        assertThat(run.err())
                .isEqualTo("cornelcrank: no daemon responds at http://127.0.0.1:" + port + ": connection refused\n");
    }

    /** Guards against a command that succeeds although the daemon's response is corrupt. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 X\r\nConnection: close\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nX Y: 1\r\nConnection: close\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}"
            })
    void malformedResponseFailsTheCommand(String response) throws IOException {
        try (RawServer server = new RawServer(response)) {
            ProgramRun run = ProgramRun.of(Map.of("CORNELCRANK_URL", server.url()), "config", "list");
            assertThat(run.exitCode()).isEqualTo(ExitCode.UNREACHABLE.number());
            assertThat(run.out()).isEmpty();
            assertThat(run.err()).startsWith("cornelcrank: no daemon responds at " + server.url() + ": ");
        }
    }
}
