package org.cornelcrank.server.gateway;

import java.io.ByteArrayOutputStream;
import java.util.List;

import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the content and the memory of collected bodies. */
class BodyBufferTests {

    /** Guards against lost, repeated or reordered bytes. */
    @Property
    void collectsTheBytesOfAllPartsInOrder(@ForAll @Size(max = 8) List<@Size(max = 5_000) byte[]> parts) {
        BodyBuffer buffer = new BodyBuffer();
        ByteArrayOutputStream expected = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            buffer.append(Unpooled.wrappedBuffer(part));
            expected.writeBytes(part);
        }
        assertThat(buffer.toByteArray()).isEqualTo(expected.toByteArray());
        assertThat(buffer.size()).isEqualTo(expected.size());
    }

    @Test
    void bodyOfSingleBytesHoldsLittleMoreThanItsLength() {
        BodyBuffer buffer = new BodyBuffer();
        for (int size = 1; size <= 300_000; size++) {
            buffer.append(Unpooled.wrappedBuffer(new byte[] {1}));
            int limit = Math.min(2 * size + BodyBuffer.MIN_SEGMENT_BYTES, size + BodyBuffer.MAX_SEGMENT_BYTES);
            if (buffer.heldBytes() > limit) {
                assertThat(buffer.heldBytes()).isLessThanOrEqualTo(limit);
            }
        }
        assertThat(buffer.size()).isEqualTo(300_000);
    }

    @Test
    void emptyBodyHoldsNothing() {
        assertThat(new BodyBuffer().heldBytes()).isZero();
        assertThat(new BodyBuffer().toByteArray()).isEmpty();
    }
}
