package org.cornelcrank.server.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.cornelcrank.server.wire.Frame;

/**
 * Adds the handlers that encode and decode the frames of a peer connection.
 *
 * <p>Immutable, thus thread-safe.
 */
final class PeerPipeline {

    static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private PeerPipeline() {}

    static void addFrameHandlers(ChannelPipeline pipeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
    }
}
