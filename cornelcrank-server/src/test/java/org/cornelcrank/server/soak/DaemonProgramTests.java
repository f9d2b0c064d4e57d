package org.cornelcrank.server.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.cornelcrank.server.FreePorts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class DaemonProgramTests {

    /** So many that random ports would collide. */
    private static final int DAEMONS = 200;

    @TempDir
    private Path logs;

    /** Guards against a daemon whose port another test takes before it starts, or while it starts again. */
    @Test
    void portsOfADaemonThatDoesNotRunAreNotFree() throws IOException {
        DaemonProgram daemon = new DaemonProgram("host-0", "127.0.0.1:1", 2, logs);
        try {
            assertThat(daemon.ports()).noneMatch(FreePorts::isFree);
        } finally {
            daemon.close();
        }
        assertThat(daemon.ports()).allMatch(FreePorts::isFree);
    }

    /** Guards against a daemon whose port another one of the same fleet takes before it starts. */
    @Test
    void daemonsThatHaveNotStartedYetHaveDifferentPorts() throws IOException {
        List<DaemonProgram> daemons = new ArrayList<>();
        try {
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(new DaemonProgram("host-" + i, "127.0.0.1:1", 2, logs));
            }
            assertThat(daemons).flatMap(DaemonProgram::ports).doesNotHaveDuplicates();
        } finally {
            daemons.forEach(DaemonProgram::close);
        }
    }
}
