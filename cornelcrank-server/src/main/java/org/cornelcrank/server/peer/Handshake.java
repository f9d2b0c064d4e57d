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
 * Computes and checks the proofs by which two daemons accept each other.
 *
 * <p>The accepting side sends a nonce; the connecting side proves the key over both nonces, its identity and whom it
 * means; the accepting side proves it in turn. Immutable, thus thread-safe.
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
        Hello unproven = Hello.newBuilder()
                .setProtocolVersion(PROTOCOL_VERSION)
                .setDeployment(identity.deployment())
                .setHost(identity.host().value())
                .setIncarnation(identity.incarnation())
                .setNonce(key.newNonce())
                .build();
        return unproven.toBuilder().setProof(helloProof(challenge, unproven)).build();
    }

    /** Returns why a hello is not acceptable, empty if it is. */
    Optional<String> objection(Challenge challenge, Hello hello) {
        if (!hello.getDeployment().equals(identity.deployment())) {
            return Optional.of("deployment must be " + identity.deployment());
        }
        if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
            return Optional.of("protocol version must be " + PROTOCOL_VERSION);
        }
        if (!Names.isName(hello.getHost())) {
            return Optional.of("host must be a name");
        }
        if (!key.proven(hello.getProof(), helloParts(challenge, hello))) {
            return Optional.of("shared key does not match");
        }
        return Optional.empty();
    }

    Welcome welcome(Challenge challenge, Hello hello) {
        ByteString host = ByteString.copyFromUtf8(identity.host().value());
        return Welcome.newBuilder()
                .setHost(identity.host().value())
                .setProof(key.prove(ACCEPTING, hello.getNonce(), challenge.getNonce(), host))
                .build();
    }

    boolean accepted(Challenge challenge, Hello hello, Welcome welcome, HostId expected) {
        ByteString host = ByteString.copyFromUtf8(welcome.getHost());
        return welcome.getHost().equals(expected.value())
                && key.proven(welcome.getProof(), ACCEPTING, hello.getNonce(), challenge.getNonce(), host);
    }

    private ByteString helloProof(Challenge challenge, Hello hello) {
        return key.prove(helloParts(challenge, hello));
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
