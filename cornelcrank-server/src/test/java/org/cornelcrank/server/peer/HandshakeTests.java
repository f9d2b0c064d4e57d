package org.cornelcrank.server.peer;

import org.cornelcrank.core.HostId;
import org.cornelcrank.server.wire.Challenge;
import org.cornelcrank.server.wire.Hello;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HandshakeTests {

    private static final HostId ALPHA = new HostId("alpha");
    private static final HostId BETA = new HostId("beta");

    private final Handshake alpha = handshake("nilavu", ALPHA, "secret");
    private final Handshake beta = handshake("nilavu", BETA, "secret");

    @Test
    void holdersOfTheSameKeyAcceptEachOther() {
        Challenge challenge = beta.challenge();
        Hello hello = alpha.hello(challenge);
        assertThat(beta.rejectionReason(challenge, hello)).isEmpty();
        assertThat(alpha.isValidWelcome(challenge, hello, beta.welcome(challenge, hello), BETA))
                .isTrue();
    }

    @Test
    void wrongKeyIsRejected() {
        Challenge challenge = beta.challenge();
        Hello hello = handshake("nilavu", ALPHA, "guess").hello(challenge);
        assertThat(beta.rejectionReason(challenge, hello)).contains("shared key does not match");
    }

    @Test
    void otherDeploymentIsRejectedEvenWithTheSameKey() {
        Challenge challenge = beta.challenge();
        Hello hello = handshake("tatranske", ALPHA, "secret").hello(challenge);
        assertThat(beta.rejectionReason(challenge, hello)).contains("deployment must be nilavu");
    }

    @Test
    void helloCannotBeReplayedOnAnotherConnection() {
        Hello hello = alpha.hello(beta.challenge());
        assertThat(beta.rejectionReason(beta.challenge(), hello)).contains("shared key does not match");
    }

    @Test
    void helloWithForgedHostIsRejected() {
        Challenge challenge = beta.challenge();
        Hello forged = alpha.hello(challenge).toBuilder().setHost("gamma").build();
        assertThat(beta.rejectionReason(challenge, forged)).contains("shared key does not match");
    }

    @Test
    void welcomeFromAnUnexpectedHostIsRejected() {
        Challenge challenge = beta.challenge();
        Hello hello = alpha.hello(challenge);
        assertThat(alpha.isValidWelcome(challenge, hello, beta.welcome(challenge, hello), new HostId("gamma")))
                .isFalse();
    }

    private static Handshake handshake(String deployment, HostId host, String key) {
        return new Handshake(new PeerIdentity(deployment, host, 1), new SharedKey(key));
    }
}
