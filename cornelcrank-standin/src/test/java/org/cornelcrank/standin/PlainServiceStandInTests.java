package org.cornelcrank.standin;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests the stand-in for a plain service over real sockets. */
class PlainServiceStandInTests {

    private final PlainServiceStandIn service = new PlainServiceStandIn(PlainServiceSettings.defaults("stav-app"));

    PlainServiceStandInTests() {
        service.start();
    }

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void duplicateCallsAreCountedForTheirKey() throws Exception {
        StandInClient client = new StandInClient(service);
        assertThat(client.json("POST", "/slips", "{}", "Idempotency-Key", "k")
                        .path("slip")
                        .asInt())
                .isEqualTo(1);
        assertThat(client.json("POST", "/slips", "{}", "Idempotency-Key", "k")
                        .path("slip")
                        .asInt())
                .isEqualTo(2);
        client.send("GET", "/slips/1", "");
        assertThat(service.runsByKey()).containsEntry("k", 2);
        assertThat(service.calls()).hasSize(2);
    }

    @Test
    void callRunsEvenIfItsResponseIsLost() throws Exception {
        StandInClient client = new StandInClient(service);
        service.setFaults(Faults.NONE.withLoseAnswers(1));
        assertThatThrownBy(() -> client.send("POST", "/slips", "{}")).isInstanceOf(IOException.class);
        assertThat(service.calls()).hasSize(1);
    }
}
