package org.cornelcrank.server.exchange;

import java.util.List;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.junit.jupiter.api.Test;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;

class ExchangeRegistryTests {

    private final MetricRegistry metrics = new MetricRegistry();
    private final ExchangeRegistry exchanges = new ExchangeRegistry(
            new DaemonIdentity(
                    new HostId("host"), 1, new Location(new RegionId("r"), new DataCentreId("dc")), "10.0.0.1:1"),
            new CoreLoop(
                    new DaemonCore(List.of(), new DecisionJournal(1, 1), dispatch -> {}),
                    new MonotonicClock(),
                    Schedulers.immediate(),
                    metrics),
            refusal -> new byte[0],
            metrics);

    @Test
    void exchangeThatTheCoreDoesNotReplyToEndsAsOneThatMayHaveRun() {
        Caller caller = new Caller(new TeamPath("/team"), "key", Caller.Scope.CALLER);
        Exchange exchange = exchanges.open(caller, new Command(), Optional.empty());
        exchanges.endAll("ended");
        Refusal expected = new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.NOT_READY, "ended", 0);
        assertThat(exchanges.size()).isZero();
        exchanges.run(new Effect.Reply(exchange.id(), Refusal.notRun(RefusalCode.NOT_READY, "late")));
        assertThat(exchange.response().block()).isEqualTo(new CallerResponse.FromCore(expected));
    }

    private record Command() implements CallerCommand {}
}
