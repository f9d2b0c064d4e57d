package org.cornelcrank.server.peer;

import javax.net.ssl.SSLException;

import java.io.File;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;

/**
 * Secures peer connections with mutual TLS: each side presents a certificate of the deployment's authority.
 *
 * <p>A reload applies to connections that are opened afterwards. Thread-safe.
 */
public final class PeerTls {

    private final File certificates;
    private final File privateKey;
    private final File authority;
    private volatile Contexts contexts;

    /**
     * Creates the TLS contexts from PEM files.
     *
     * @param certificates this daemon's certificate chain, PEM
     * @param privateKey its private key, PKCS #8 PEM
     * @param authority the CA certificates with which peers are verified, PEM
     * @throws SSLException if a file cannot be read or is not valid
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
     * @throws SSLException if a file cannot be read or is not valid; the previous contexts stay in use
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

    /** The server's and the client's context, read together. */
    private record Contexts(SslContext server, SslContext client) {}
}
