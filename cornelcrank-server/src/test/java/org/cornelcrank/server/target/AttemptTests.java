package org.cornelcrank.server.target;

import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptTests {

    private final List<AttemptId> ended = new ArrayList<>();
    private final Disposable request = Disposables.single();
    private final Disposable connection = Disposables.single();
    private final Attempt attempt = new Attempt(
            new AttemptId(new HostId("d1"), 1, 1),
            new CoreLoop(
                    new DaemonCore(List.of(), new DecisionJournal(1, 1), dispatch -> {}),
                    new MonotonicClock(),
                    Schedulers.immediate(),
                    new MetricRegistry()),
            ended::add);

    /** Guards against a stream that is cut off as its response begins before the sender of its request goes on. */
    @Test
    void connectionOfAResponseThatBeginsBeforeItsRequestIsAddedStaysOpen() {
        attempt.addTransfer(connection);
        attempt.addTransfer(request);
        assertThat(connection.isDisposed()).isFalse();
    }

    @Test
    void abortClosesTheConnectionInWhateverOrderItWasAdded() {
        attempt.addTransfer(connection);
        attempt.addTransfer(request);
        attempt.abort(AttemptFailures.cancelled(0, false));
        assertThat(connection.isDisposed()).isTrue();
        assertThat(request.isDisposed()).isTrue();
        assertThat(ended).hasSize(1);
    }

    @Test
    void connectionThatIsAddedAfterAnAbortIsClosedAtOnce() {
        attempt.abort(AttemptFailures.cancelled(0, false));
        attempt.addTransfer(connection);
        assertThat(connection.isDisposed()).isTrue();
    }
}
