package org.cornelcrank.cli;

import java.util.Arrays;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Compares all help texts and usage errors with approved files. */
class HelpAndErrorsTests {

    @Test
    void helpOfTheProgramAndOfAGroupListsTheCommands() {
        Approvals.verify(
                ProgramRun.transcript() + ProgramRun.transcript("config", "--help") + ProgramRun.transcript("help"));
    }

    @Test
    void helpOfEachCommandShowsItsOptionsAndExamples() {
        Approvals.verify(CornelcrankCli.commands().stream()
                .map(command -> ProgramRun.transcript(
                        Stream.concat(Arrays.stream(command.name().split(" ")), Stream.of("--help"))
                                .toArray(String[]::new)))
                .collect(Collectors.joining()));
    }

    @Test
    void usageErrorsNameWhatIsAllowed() {
        Approvals.verify(Stream.of(
                        "konfig",
                        "config put",
                        "config get",
                        "config get /a /b",
                        "config get /a --jsn",
                        "config set /a b --expect-version x",
                        "config set /a b --expect-version",
                        "job submit no-such-file.jsonl",
                        "job submit pom.xml --endpoint /v1/embeddings",
                        "job list --limit 0",
                        "explain horse 7",
                        "key create /a k.1",
                        "standin engine --slots none",
                        "--verbose config list")
                .map(words -> ProgramRun.transcript(words.split(" ")))
                .collect(Collectors.joining()));
    }
}
