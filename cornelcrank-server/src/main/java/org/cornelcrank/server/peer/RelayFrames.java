package org.cornelcrank.server.peer;

import java.util.function.Consumer;

import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.RelayData;

/**
 * Turns the bytes of relayed connections into frames and back.
 *
 * <p>Stateless, thus thread-safe.
 */
final class RelayFrames {

    /** Maximum number of bytes in one frame, so that the frame has at most 64 KiB. */
    static final int MAX_DATA_BYTES = 64 * 1024 - 32;

    private RelayFrames() {}

    /** Passes the bytes on in frames, at least one, and releases them. */
    static void split(ByteBuf bytes, Consumer<Frame> frames) {
        try {
            do {
                frames.accept(data(bytes, Math.min(MAX_DATA_BYTES, bytes.readableBytes())));
            } while (bytes.isReadable());
        } finally {
            bytes.release();
        }
    }

    private static Frame data(ByteBuf bytes, int length) {
        byte[] content = ByteBufUtil.getBytes(bytes, bytes.readerIndex(), length, true);
        bytes.skipBytes(length);
        return Frame.newBuilder()
                .setRelayData(RelayData.newBuilder().setContent(UnsafeByteOperations.unsafeWrap(content)))
                .build();
    }

    /** Returns the bytes of a frame. */
    static ByteBuf bytes(Frame frame) {
        return Unpooled.wrappedBuffer(frame.getRelayData().getContent().asReadOnlyByteBuffer());
    }
}
