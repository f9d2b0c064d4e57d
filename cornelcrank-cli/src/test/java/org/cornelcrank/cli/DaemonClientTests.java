package org.cornelcrank.cli;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.Map;

import org.cornelcrank.cli.client.ExitCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the error message if no daemon responds at the URL. */
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
}
