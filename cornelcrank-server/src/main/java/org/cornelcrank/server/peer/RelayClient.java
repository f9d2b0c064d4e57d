package org.cornelcrank.server.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.util.AttributeKey;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;

/**
 * Makes connections to peers carry the bytes of connections to targets.
 *
 * <p>Invariants: such a connection becomes active once the target is connected, and only then carries bytes; it ends
 * without an error only if the target has ended it after it had taken all bytes. Thread-safe.
 */
public final class RelayClient {

    private static final AttributeKey<RelayException> FAILURE = AttributeKey.valueOf("cornelcrank-relay-failure");

    private final Handshake handshake;
    private final Optional<PeerTls> tls;
    private final Function<HostId, Optional<String>> addresses;

    /**
     * Creates a client.
     *
     * @param security this daemon's identity, the shared key, and TLS if configured
     * @param addresses resolves a host's address; called on the thread of {@link #route}
     */
    public RelayClient(PeerSecurity security, Function<HostId, Optional<String>> addresses) {
        this.handshake = new Handshake(security.identity(), security.key());
        this.tls = security.tls();
        this.addresses = Objects.requireNonNull(addresses, "addresses must not be null");
    }

    /** Returns the way to a target through a peer; empty if the peer has no known address. */
    public Optional<RelayRoute> route(HostId relay, TargetId target) {
        try {
            return addresses
                    .apply(relay)
                    .map(SocketAddresses::parse)
                    .map(address -> new RelayRoute(relay, address, target));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Makes a connection to the peer carry the target's bytes; to be called before it is connected.
     *
     * @param channel the new connection to {@link RelayRoute#address()}, without handlers that act on it before it is
     *     active
     * @param openTimeoutMs how long connecting and opening may take together, in ms
     */
    public void relay(Channel channel, RelayRoute route, long openTimeoutMs) {
        List<ChannelHandler> handlers = new ArrayList<>();
        tls.ifPresent(context -> handlers.add(context.clientHandler(channel)));
        handlers.addAll(PeerPipeline.newFrameHandlers());
        handlers.add(new RelayOpeningHandler(handshake, route, openTimeoutMs));
        channel.pipeline().addFirst(handlers.toArray(ChannelHandler[]::new));
    }

    /** Returns why a relayed connection has failed; empty if it has not. */
    public static Optional<RelayException> failure(Channel channel) {
        return Optional.ofNullable(channel.attr(FAILURE).get());
    }

    static void fail(Channel channel, RelayException failure) {
        channel.attr(FAILURE).set(failure);
    }
}
