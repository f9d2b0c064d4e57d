package org.cornelcrank.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Generates prompts with a given number of shared prefixes and given lengths.
 *
 * <p>Deterministic for a seeded random generator. Not thread-safe.
 */
final class PromptFactory {

    private static final String[] WORDS = {
        "counter", "token", "member", "loan", "branch", "paper", "crossing", "barrier", "lamp", "log", "crew", "report"
    };

    private final Scenario.Prompts shape;
    private final RandomGenerator random;
    private final List<String> heads = new ArrayList<>();
    private long promptCount;

    PromptFactory(Scenario.Prompts shape, RandomGenerator random) {
        this.shape = Objects.requireNonNull(shape, "shape must not be null");
        this.random = Objects.requireNonNull(random, "random must not be null");
        for (int i = 0; i < shape.sharedHeads(); i++) {
            heads.add("head " + i + " " + text(shape.headCharacters()));
        }
    }

    /** The shared and the unique part of a prompt, and the number of tokens to generate. */
    record Prompt(String head, String tail, int outputTokens) {}

    Prompt next() {
        String head = heads.get(random.nextInt(heads.size()));
        String tail = "request " + promptCount++ + " " + text(shape.tailCharacters());
        return new Prompt(head, tail, random.nextInt(shape.minOutputTokens(), shape.maxOutputTokens() + 1));
    }

    private String text(int characters) {
        StringBuilder text = new StringBuilder(characters);
        while (text.length() < characters) {
            text.append(WORDS[random.nextInt(WORDS.length)]).append(' ');
        }
        text.setLength(characters);
        return text.toString();
    }
}
