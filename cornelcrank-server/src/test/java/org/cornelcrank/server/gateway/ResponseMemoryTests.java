package org.cornelcrank.server.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cornelcrank.core.TargetId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Checks which responses are evicted, and that what is held is counted exactly. */
class ResponseMemoryTests {

    private static final long MAX_BYTES = 1_000;
    private static final int RESPONSES = 12;
    private static final int TARGETS = 3;
    private static final int NO_LONGER_HELD = -1;

    private final MetricRegistry metrics = new MetricRegistry();
    private final ResponseMemory memory = new ResponseMemory(MAX_BYTES, metrics);
    private final List<String> evicted = new ArrayList<>();

    private ResponseMemory.Response open(String target, String name) {
        return memory.open(new TargetId(target), eviction -> evicted.add(name));
    }

    @Test
    void largestResponseOfTheTargetThatHoldsMostIsEvictedFirst() {
        open("faulty", "small").update(100);
        open("faulty", "large").update(400);
        open("faulty", "middle").update(200);
        ResponseMemory.Response sound = open("sound", "sound");
        sound.update(301);
        assertThat(evicted).containsExactly("large");
        assertThat(memory.heldBytes()).isEqualTo(601);
        assertThat(metrics.counter("attempts.responses-evicted").getCount()).isEqualTo(1);
    }

    @Test
    void largeResponseOfATargetWithinItsShareIsNotEvictedForManySmallOnes() {
        open("sound", "sound").update(499);
        for (int i = 0; i < 200; i++) {
            open("faulty", "faulty").update(10);
        }
        assertThat(evicted).isNotEmpty().containsOnly("faulty");
        assertThat(memory.heldBytesByTarget()).containsEntry(new TargetId("sound"), 499L);
    }

    @Test
    void responseThatExceedsTheLimitByItselfIsEvictedAlone() {
        open("target", "other").update(1);
        open("target", "endless").update(MAX_BYTES);
        assertThat(evicted).containsExactly("endless");
        assertThat(memory.heldBytes()).isEqualTo(1);
    }

    @Test
    void responseThatHoldsLessAfterAwhileMakesRoom() {
        ResponseMemory.Response stream = open("target", "stream");
        stream.update(900);
        stream.update(100);
        open("target", "other").update(900);
        assertThat(evicted).isEmpty();
        assertThat(memory.heldBytes()).isEqualTo(MAX_BYTES);
    }

    @Test
    void endedOrEvictedResponseNeverCountsAgain() {
        ResponseMemory.Response ended = open("target", "ended");
        ended.update(10);
        ended.close();
        ended.update(20);
        ended.close();
        ResponseMemory.Response endless = open("target", "endless");
        endless.update(MAX_BYTES + 1);
        endless.update(5);
        endless.close();
        assertThat(memory.heldBytes()).isZero();
        assertThat(memory.heldBytesByTarget()).isEmpty();
        assertThat(evicted).containsExactly("endless");
    }

    @Test
    void listenerThatUpdatesAndClosesResponsesDoesNotSpoilTheCount() {
        ResponseMemory.Response other = open("b", "other");
        other.update(400);
        ResponseMemory.Response[] self = new ResponseMemory.Response[1];
        self[0] = memory.open(new TargetId("a"), eviction -> {
            self[0].update(7);
            self[0].close();
            other.close();
            evicted.add("self " + eviction.responseBytes() + " of " + eviction.heldBytes());
        });
        self[0].update(601);
        assertThat(evicted).containsExactly("self 601 of 1001");
        assertThat(memory.heldBytes()).isZero();
    }

    @Test
    void negativeSizeIsRejected() {
        assertThatThrownBy(() -> open("target", "response").update(-1))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("-1");
    }

    /** Guards against bytes that are counted twice, not at all, or for ever, and against unfair evictions. */
    @Property
    void heldBytesAreTheSumOfOpenResponsesWithinTheLimit(@ForAll("steps") List<Step> steps) {
        ResponseMemory checked = new ResponseMemory(MAX_BYTES, new MetricRegistry());
        Map<Integer, Long> model = new HashMap<>();
        List<ResponseMemory.Response> responses = new ArrayList<>();
        for (int i = 0; i < RESPONSES; i++) {
            int number = i;
            model.put(number, 0L);
            responses.add(checked.open(targetOf(number), eviction -> onEvicted(number, eviction, checked, model)));
        }
        for (Step step : steps) {
            if (step.bytes() == NO_LONGER_HELD) {
                model.remove(step.response());
                responses.get(step.response()).close();
            } else {
                model.computeIfPresent(step.response(), (number, bytes) -> (long) step.bytes());
                responses.get(step.response()).update(step.bytes());
            }
            assertThat(checked.heldBytes()).isBetween(0L, MAX_BYTES).isEqualTo(sum(model));
            assertThat(checked.heldBytesByTarget().values().stream()
                            .mapToLong(Long::longValue)
                            .sum())
                    .isEqualTo(checked.heldBytes());
        }
        responses.forEach(ResponseMemory.Response::close);
        assertThat(checked.heldBytes()).isZero();
        assertThat(checked.heldBytesByTarget()).isEmpty();
    }

    private static void onEvicted(
            int number, ResponseMemory.Eviction eviction, ResponseMemory checked, Map<Integer, Long> model) {
        long held = model.keySet().stream()
                .filter(other -> targetOf(other).equals(targetOf(number)))
                .mapToLong(model::get)
                .sum();
        assertThat(model).containsEntry(number, eviction.responseBytes());
        assertThat(held * TARGETS).isGreaterThan(eviction.maxBytes());
        assertThat(eviction.heldBytes()).isEqualTo(sum(model)).isGreaterThan(eviction.maxBytes());
        model.remove(number);
    }

    private static TargetId targetOf(int number) {
        return new TargetId("target-" + number % TARGETS);
    }

    private static long sum(Map<Integer, Long> model) {
        return model.values().stream().mapToLong(Long::longValue).sum();
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> responses = Arbitraries.integers().between(0, RESPONSES - 1);
        Arbitrary<Integer> bytes = Arbitraries.integers().between(NO_LONGER_HELD, (int) MAX_BYTES * 2);
        return Combinators.combine(responses, bytes).as(Step::new).list().ofMaxSize(60);
    }

    /** A response that now holds that many bytes, or has ended. */
    record Step(int response, int bytes) {}
}
