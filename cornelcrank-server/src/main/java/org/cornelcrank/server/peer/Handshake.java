package org.cornelcrank.server.peer;

import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Names;
import org.cornelcrank.server.wire.Challenge;
import org.cornelcrank.server.wire.Hello;
import org.cornelcrank.server.wire.Welcome;

/**
 * Computes and verifies the proofs with which two daemons authenticate each other.
 *
 * <p>The accepting side sends a nonce; the connecting side replies with its own nonce and a proof over both nonces, its
 * deployment and its identity; the accepting side replies with a proof over both nonces and its host. Immutable, thus
 * thread-safe.
 */
final class Handshake {

    static final int PROTOCOL_VERSION = 1;

    private static final ByteString CONNECTING = ByteString.copyFromUtf8("connecting");
    private static final ByteString ACCEPTING = ByteString.copyFromUtf8("accepting");

    private final PeerIdentity identity;
    private final SharedKey key;

    Handshake(PeerIdentity identity, SharedKey key) {
        this.identity = Objects.requireNonNull(identity, "identity must not be null");
        this.key = Objects.requireNonNull(key, "key must not be null");
    }

    Challenge challenge() {
        return Challenge.newBuilder().setNonce(key.newNonce()).build();
    }

    Hello hello(Challenge challenge) {
        Hello unsigned = Hello.newBuilder()
                .setProtocolVersion(PROTOCOL_VERSION)
                .setDeployment(identity.deployment())
                .setHost(identity.host().value())
                .setIncarnation(identity.incarnation())
                .setNonce(key.newNonce())
                .build();
        return unsigned.toBuilder().setProof(helloProof(challenge, unsigned)).build();
    }

    /** Returns why a hello is rejected, or empty if it is accepted. */
    Optional<String> rejectionReason(Challenge challenge, Hello hello) {
        if (!hello.getDeployment().equals(identity.deployment())) {
            return Optional.of("deployment must be " + identity.deployment());
        }
        if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
            return Optional.of("protocol version must be " + PROTOCOL_VERSION);
        }
        if (!Names.isName(hello.getHost())) {
            return Optional.of("host must be a name");
        }
        if (!key.isValidProof(hello.getProof(), helloParts(challenge, hello))) {
            return Optional.of("shared key does not match");
        }
        return Optional.empty();
    }

    Welcome welcome(Challenge challenge, Hello hello) {
        ByteString host = ByteString.copyFromUtf8(identity.host().value());
        return Welcome.newBuilder()
                .setHost(identity.host().value())
                .setProof(key.computeProof(ACCEPTING, hello.getNonce(), challenge.getNonce(), host))
                .setAnswersPings(true)
                .build();
    }

    boolean isValidWelcome(Challenge challenge, Hello hello, Welcome welcome, HostId expected) {
        ByteString host = ByteString.copyFromUtf8(welcome.getHost());
        return welcome.getHost().equals(expected.value())
                && key.isValidProof(welcome.getProof(), ACCEPTING, hello.getNonce(), challenge.getNonce(), host);
    }

    private ByteString helloProof(Challenge challenge, Hello hello) {
        return key.computeProof(helloParts(challenge, hello));
    }

    private static ByteString[] helloParts(Challenge challenge, Hello hello) {
        return new ByteString[] {
            CONNECTING,
            challenge.getNonce(),
            hello.getNonce(),
            ByteString.copyFromUtf8(hello.getDeployment()),
            ByteString.copyFromUtf8(hello.getHost() + "/" + hello.getIncarnation())
        };
    }
}
