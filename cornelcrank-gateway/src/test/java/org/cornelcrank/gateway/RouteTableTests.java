package org.cornelcrank.gateway;

import java.util.List;
import java.util.stream.LongStream;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RouteTableTests {

    static GatewayRoute route(String name, String host, String prefix, WeightedService... services) {
        return new GatewayRoute(
                name, host, prefix, RouteKind.IDEMPOTENT, List.of(services), 0, 2_000, 200, 2, false, false, 0, 0);
    }

    static WeightedService service(String name, int weight) {
        return new WeightedService(new ServiceName(name), weight);
    }

    static RouteTable table(long version, GatewayRoute... routes) {
        return new RouteTable(version, List.of(routes), RequestLimits.DEFAULT);
    }

    @Test
    void longestMatchingPrefixOfTheHostIsSelected() {
        RouteTable table = table(
                1,
                route("short", "a.example", "/x/", service("s", 1)),
                route("long", "a.example", "/x/y/", service("s", 1)),
                route("other", "b.example", "/x/y/z/", service("s", 1)));
        assertThat(table.select("a.example", "/x/y/z/1").orElseThrow().name()).isEqualTo("long");
        assertThat(table.select("A.EXAMPLE", "/x/z").orElseThrow().name()).isEqualTo("short");
        assertThat(table.select("a.example", "/x")).isEmpty();
        assertThat(table.select("c.example", "/x/")).isEmpty();
    }

    @Test
    void requestsAreDistributedByWeight() {
        GatewayRoute route =
                route("r", "a.example", "/", service("heavy", 90), service("light", 10), service("off", 0));
        List<ServiceName> chosen =
                LongStream.range(0, 1_000).mapToObj(route::serviceFor).toList();
        assertThat(chosen.stream().filter(new ServiceName("heavy")::equals)).hasSize(900);
        assertThat(chosen.stream().filter(new ServiceName("light")::equals)).hasSize(100);
        assertThat(chosen).doesNotContain(new ServiceName("off"));
    }

    @Test
    void olderTableIsNeverActivated() {
        RouteTableSettings settings = new RouteTableSettings(new RegionId("region"));
        assertThat(settings.ready()).isFalse();
        assertThat(settings.install(table(5), 0, new Effects())).isTrue();
        assertThat(settings.install(table(4), 0, new Effects())).isFalse();
        assertThat(settings.install(table(5), 0, new Effects())).isFalse();
        assertThat(settings.version()).isEqualTo(5);
        assertThat(settings.install(table(9), 0, new Effects())).isTrue();
        assertThat(settings.version()).isEqualTo(9);
    }
}
