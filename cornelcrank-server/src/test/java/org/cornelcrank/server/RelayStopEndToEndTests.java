package org.cornelcrank.server;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.cornelcrank.platform.fake.LinkFault;
import org.cornelcrank.platform.fake.LinkFault.Kind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a daemon that stops while it relays a request, over real sockets. */
class RelayStopEndToEndTests {

    private static final int PARTITIONED = 0;
    private static final int RELAY = 1;
    private static final LinkFault OUT_OF_REACH = new LinkFault(Kind.RESET, Kind.REFUSED);

    /** How long the request runs, in ms: longer than a stopping relay waits for idle connections, less than for others. */
    private static final long RUN_MS = 2_000;

    private static final long HANG_LIMIT_S = 60;

    /** Guards against a stop that cuts a request whose target takes longer than others to respond. */
    @Test
    void requestThatTheDaemonRelaysIsServedWhileItStops() throws Exception {
        try (GatewayFleet fleet = GatewayFleet.withLinks(2, "i-1")) {
            fleet.links.get(PARTITIONED).begin(OUT_OF_REACH);
            GatewayFleet.await(() -> fleet.status(PARTITIONED, "idem", "relayed", Map.of()) == 200);
            fleet.runners.get("i-1").setResponseMs(RUN_MS);
            CompletableFuture<Integer> status =
                    CompletableFuture.supplyAsync(() -> fleet.status(PARTITIONED, "unsafe", "a", Map.of()));
            GatewayFleet.await(() -> fleet.runs("a") == 1);

            fleet.daemons.get(RELAY).stop();

            assertThat(status.get(HANG_LIMIT_S, TimeUnit.SECONDS)).isEqualTo(200);
            assertThat(fleet.runs("a")).isEqualTo(1);
        }
    }
}
