package org.cornelcrank.server.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.HostId;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.wire.Envelope;
import org.cornelcrank.server.wire.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives peer messages: in order over connections, or small ones in single datagrams.
 *
 * <p>Messages go to a peer over the connection to it, or over the one from it if that came first ({@link PeerConnection}).
 *
 * <p>Messages may be lost; none is sent twice. TCP and UDP use the same port number. Thread-safe.
 */
public final class PeerTransport implements EffectRunner {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerTransport.class);
    private static final int THREADS = 1;
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final Map<HostId, PeerConnection> connections = new ConcurrentHashMap<>();
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final EventLoopGroup group;
    private final Function<HostId, Optional<String>> addresses;
    private final MonotonicClock clock;
    private final PeerCodecs codecs;
    private final Handshake handshake;
    private final PeerDatagrams datagrams;
    private final PeerReceiver receiver;
    private final Optional<PeerTls> tls;
    private final Counter sent;
    private final Counter sentBytes;
    private final Counter dropped;
    private final Counter unresponsive;
    private Channel tcp;
    private Channel udp;

    /**
     * Creates a transport with its own thread that is not bound yet.
     *
     * @param security this daemon's identity, the shared key, and TLS if configured
     * @param codecs the codecs of the peer messages
     * @param addresses resolves a host's address; called on the core's thread
     * @param loop receives the messages
     * @param clock provides the current time
     * @param metrics receives the counters
     */
    public PeerTransport(
            PeerSecurity security,
            PeerCodecs codecs,
            Function<HostId, Optional<String>> addresses,
            CoreLoop loop,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this(
                security,
                codecs,
                addresses,
                loop,
                clock,
                metrics,
                new MultiThreadIoEventLoopGroup(
                        THREADS, new DefaultThreadFactory("cornelcrank-peer", true), NioIoHandler.newFactory()));
    }

    /**
     * Creates a transport that is not bound yet and shares its threads with other components.
     *
     * @param security this daemon's identity, the shared key, and TLS if configured
     * @param codecs the codecs of the peer messages
     * @param addresses resolves a host's address; called on the core's thread
     * @param loop receives the messages
     * @param clock provides the current time
     * @param metrics receives the counters
     * @param group event loop group of the connections; shut down when the transport is closed
     */
    public PeerTransport(
            PeerSecurity security,
            PeerCodecs codecs,
            Function<HostId, Optional<String>> addresses,
            CoreLoop loop,
            MonotonicClock clock,
            MetricRegistry metrics,
            EventLoopGroup group) {
        this.group = group;
        this.addresses = addresses;
        this.clock = clock;
        this.codecs = codecs;
        this.handshake = new Handshake(security.identity(), security.key());
        this.receiver = new PeerReceiver(codecs, loop, metrics);
        this.datagrams = new PeerDatagrams(security.identity(), security.key(), receiver, metrics);
        this.tls = security.tls();
        this.sent = metrics.counter("peer.messages-sent");
        this.sentBytes = metrics.counter("peer.sent-bytes");
        this.dropped = metrics.counter("peer.messages-dropped");
        this.unresponsive = metrics.counter("peer.connections-unresponsive");
    }

    /**
     * Binds the port for connections and datagrams.
     *
     * @param address the address to listen at; port 0 selects a free port
     * @return the bound address
     */
    public InetSocketAddress bind(InetSocketAddress address) {
        return bind(address, Optional.empty());
    }

    /**
     * Binds the port for connections and datagrams.
     *
     * @param address the address to listen at; port 0 selects a free port
     * @param relays the connections to targets that this daemon relays for its peers; empty if it relays none
     * @return the bound address
     */
    public InetSocketAddress bind(InetSocketAddress address, Optional<RelayedConnections> relays) {
        tcp = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted.add(channel);
                        tls.ifPresent(context -> channel.pipeline().addLast(context.serverHandler(channel)));
                        PeerPipeline.addFrameHandlers(channel.pipeline());
                        channel.pipeline()
                                .addLast(new AcceptingHandler(
                                        handshake, receiver, relays, PeerTransport.this::connection, unresponsive));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        InetSocketAddress bound = (InetSocketAddress) tcp.localAddress();
        udp = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .handler(datagrams)
                .bind(bound)
                .syncUninterruptibly()
                .channel();
        return bound;
    }

    @Override
    public boolean run(Effect effect) {
        if (!(effect instanceof Effect.Send send)) {
            return false;
        }
        Optional<InetSocketAddress> address = addresses.apply(send.to()).flatMap(PeerTransport::parse);
        if (address.isEmpty()) {
            dropped.inc();
            return true;
        }
        Envelope envelope = codecs.encode(send.message());
        sent.inc();
        sentBytes.inc(envelope.getSerializedSize());
        if (send.delivery() == Effect.Delivery.DATAGRAM) {
            byte[] datagram = datagrams.seal(send.to(), envelope);
            if (datagram.length <= PeerDatagrams.MAX_DATAGRAM_BYTES) {
                udp.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), address.get()));
                return true;
            }
        }
        connection(send.to()).send(Frame.newBuilder().setEnvelope(envelope).build(), address.get(), clock.nowMs());
        return true;
    }

    /** Closes all connections and the port. */
    public void close() {
        connections.values().forEach(PeerConnection::close);
        if (tcp != null) {
            tcp.close().syncUninterruptibly();
            udp.close().syncUninterruptibly();
        }
        accepted.close().awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private PeerConnection connection(HostId host) {
        return connections.computeIfAbsent(
                host, peer -> new PeerConnection((address, onReady) -> connect(peer, address, onReady), dropped));
    }

    private ChannelFuture connect(HostId host, InetSocketAddress address, Consumer<Channel> onReady) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        tls.ifPresent(context -> channel.pipeline().addLast(context.clientHandler(channel)));
                        PeerPipeline.addFrameHandlers(channel.pipeline());
                        channel.pipeline()
                                .addLast(new ConnectingHandler(handshake, host, receiver, onReady, unresponsive));
                    }
                })
                .connect(address);
    }

    private static Optional<InetSocketAddress> parse(String address) {
        try {
            return Optional.of(SocketAddresses.parse(address));
        } catch (IllegalArgumentException e) {
            LOGGER.warn("Ignored invalid peer address: {}", e.getMessage());
            return Optional.empty();
        }
    }
}
