package org.cornelcrank.core;

import java.util.List;
import java.util.function.Function;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RendezvousHashTests {

    @Test
    void lossOfCandidateMovesOnlyItsOwnKeys() {
        List<String> all = List.of("a", "b", "c", "d");
        List<String> survivors = List.of("a", "b", "d");
        for (int i = 0; i < 1000; i++) {
            String key = "key" + i;
            String before = RendezvousHash.choose(key, all, Function.identity()).orElseThrow();
            String after =
                    RendezvousHash.choose(key, survivors, Function.identity()).orElseThrow();
            if (!before.equals("c")) {
                assertThat(after).isEqualTo(before);
            }
        }
    }

    @Test
    void rankStartsWithTheChosenCandidate() {
        List<String> all = List.of("a", "b", "c", "d");
        for (int i = 0; i < 100; i++) {
            String key = "key" + i;
            assertThat(RendezvousHash.rank(key, all, Function.identity()).get(0))
                    .isEqualTo(
                            RendezvousHash.choose(key, all, Function.identity()).orElseThrow());
        }
    }

    @Test
    void choiceAmongNoCandidatesIsEmpty() {
        assertThat(RendezvousHash.choose("key", List.<String>of(), Function.identity()))
                .isEmpty();
    }
}
