package org.cornelcrank.server.peer;

import javax.net.ssl.SSLException;

import java.io.File;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;

/**
 * Secures connections between daemons with TLS, each side showing a certificate of the deployment's authority.
 *
 * <p>A reload holds for connections that are opened afterwards. Thread-safe.
 */
public final class PeerTls {

    private final File certificates;
    private final File privateKey;
    private final File authority;
    private volatile Contexts contexts;

    /**
     * Reads the files.
     *
     * @param certificates this daemon's certificate chain, PEM
     * @param privateKey its key, PKCS #8 PEM
     * @param authority the certificates by which peers are checked, PEM
     * @throws SSLException if a file cannot be read or does not fit
     */
    public PeerTls(File certificates, File privateKey, File authority) throws SSLException {
        this.certificates = certificates;
        this.privateKey = privateKey;
        this.authority = authority;
        reload();
    }

    /**
     * Reads the files again.
     *
     * @throws SSLException if a file cannot be read or does not fit; the earlier ones stay in use
     */
    public void reload() throws SSLException {
        contexts = new Contexts(
                SslContextBuilder.forServer(certificates, privateKey)
                        .trustManager(authority)
                        .clientAuth(ClientAuth.REQUIRE)
                        .build(),
                SslContextBuilder.forClient()
                        .keyManager(certificates, privateKey)
                        .trustManager(authority)
                        .endpointIdentificationAlgorithm(null)
                        .build());
    }

    ChannelHandler serverHandler(Channel channel) {
        return contexts.server().newHandler(channel.alloc());
    }

    ChannelHandler clientHandler(Channel channel) {
        return contexts.client().newHandler(channel.alloc());
    }

    /** The two sides' contexts of one reading. */
    private record Contexts(SslContext server, SslContext client) {}
}
