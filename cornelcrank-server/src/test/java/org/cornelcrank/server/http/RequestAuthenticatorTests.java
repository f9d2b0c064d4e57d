package org.cornelcrank.server.http;

import java.util.List;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.gateway.RequestLimits;
import org.cornelcrank.gateway.RouteTable;
import org.cornelcrank.gateway.RouteTableSettings;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class RequestAuthenticatorTests {

    /** Guards against valid keys that a daemon rejects for good, as it has just started and knows none. */
    @Test
    void keyIsNotRejectedBeforeTheSettingsAreKnown() {
        RouteTableSettings settings = new RouteTableSettings(new RegionId("region"));
        assertThatExceptionOfType(RefusedException.class)
                .isThrownBy(() -> RequestAuthenticator.entry(settings, "kiosk"))
                .satisfies(refused -> {
                    assertThat(refused.refusal().code()).isEqualTo(RefusalCode.NOT_READY);
                    assertThat(refused.refusal().retryAfterMs()).isPositive();
                });
        settings.install(new RouteTable(1, List.of(), RequestLimits.DEFAULT), 0, new Effects());
        assertThat(RequestAuthenticator.entry(settings, "kiosk").keyId()).isEqualTo("unknown");
    }
}
