package org.cornelcrank.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Makes HTTP clients fail an exchange, and close its connection, if the response is not valid HTTP/1.1 or may be incomplete.
 *
 * <p>The decoder of the HTTP library accepts heads that it interprets in some way, so that a corrupt response may look
 * like another, valid one. Stateless, thus thread-safe.
 */
public final class StrictResponses {

    private StrictResponses() {}

    /**
     * Returns a client whose exchanges fail with a {@link MalformedResponseException} if the response is not valid, and
     * with a {@link io.netty.handler.codec.PrematureChannelClosureException} if only the end of the connection ends it
     * while the request is still being written.
     */
    public static HttpClient of(HttpClient client) {
        return client.doOnChannelInit((observer, channel, address) -> require(channel));
    }

    /** Makes the exchanges of a new connection fail as those of {@link #of}. */
    public static void require(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        ResponseValidator validator = new ResponseValidator();
        pipeline.addBefore(NettyPipeline.HttpCodec, null, validator);
        pipeline.addAfter(NettyPipeline.HttpCodec, null, new RequestTracker(validator));
    }
}
