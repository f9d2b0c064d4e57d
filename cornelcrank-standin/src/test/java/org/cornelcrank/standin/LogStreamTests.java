package org.cornelcrank.standin;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the retention of log records in virtual time. */
class LogStreamTests {

    @Test
    void expiredRecordsAreRemovedAndOffsetsContinue() {
        LogStream stream = new LogStream(100);
        for (int i = 0; i < 3000; i++) {
            stream.append(new byte[] {(byte) i}, i);
        }
        LogStream.Page page = stream.read(0, 1 << 20, 2999);
        assertThat(page.oldestOffset()).isEqualTo(2899);
        assertThat(page.records()).hasSize(101);
        assertThat(page.records().get(0).payload()).containsExactly((byte) 2899);
        assertThat(stream.append(new byte[0], 9000)).isEqualTo(3000);
        assertThat(stream.read(0, 1 << 20, 9000).records())
                .extracting(LogStream.StoredRecord::offset)
                .containsExactly(3000L);
    }
}
