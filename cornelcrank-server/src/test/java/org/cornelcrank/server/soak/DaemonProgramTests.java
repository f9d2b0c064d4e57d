package org.cornelcrank.server.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class DaemonProgramTests {

    /** So many that random ports would collide. */
    private static final int DAEMONS = 200;

    @TempDir
    private Path logs;

    /** Guards against a daemon whose port another one of the same fleet takes before it starts. */
    @Test
    void daemonsThatHaveNotStartedYetHaveDifferentPorts() throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            ports.addAll(new DaemonProgram("host-" + i, "127.0.0.1:1", 2, logs).ports());
        }
        assertThat(ports).doesNotHaveDuplicates();
    }
}
