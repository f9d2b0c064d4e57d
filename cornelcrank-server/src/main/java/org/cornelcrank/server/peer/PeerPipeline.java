package org.cornelcrank.server.peer;

import java.util.List;

import io.netty.channel.ChannelHandler;
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
        newFrameHandlers().forEach(pipeline::addLast);
    }

    /** Returns new handlers that encode and decode frames, in the order of the pipeline. */
    static List<ChannelHandler> newFrameHandlers() {
        return List.of(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new ProtobufDecoder(Frame.getDefaultInstance()),
                new LengthFieldPrepender(LENGTH_BYTES),
                new ProtobufEncoder());
    }
}
