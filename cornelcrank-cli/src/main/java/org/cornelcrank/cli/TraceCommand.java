package org.cornelcrank.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.trace.LogLine;
import org.cornelcrank.cli.trace.LogReader;
import org.cornelcrank.cli.trace.RequestTrace;

/** Reconstructs the history of a request, job or item from the logs of all hosts. Stateless, thus thread-safe. */
final class TraceCommand implements Command {

    @Override
    public String name() {
        return "trace";
    }

    @Override
    public String summary() {
        return "show what happened to a request, job or item on all hosts, from their collected logs";
    }

    @Override
    public String arguments() {
        return "ID FILE...";
    }

    @Override
    public List<String> examples() {
        return List.of("trace 0173c3e11f010c20 entry-1.log entry-2.log", "trace 01c7ffa69fe863fd collected.log");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String id = invocation.argument(0, "ID");
        invocation.argument(1, "FILE");
        LogReader reader = new LogReader();
        List<LogLine> lines = new ArrayList<>();
        for (String name :
                invocation.arguments().subList(1, invocation.arguments().size())) {
            read(Invocation.readableFile(name), reader, lines);
        }
        List<LogLine> trace = RequestTrace.of(id, lines);
        RequestTrace.format(trace).forEach(invocation.console()::line);
        if (reader.malformedLines() > 0) {
            invocation.console().error(reader.malformedLines() + " lines could not be read; a log may be truncated");
        }
        if (trace.isEmpty()) {
            throw new CommandFailure(ExitCode.NOT_FOUND, "none of " + lines.size() + " lines mentions " + id);
        }
        return ExitCode.OK;
    }

    private static void read(Path file, LogReader reader, List<LogLine> lines) {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPLACE);
        try (BufferedReader log = new BufferedReader(new InputStreamReader(Files.newInputStream(file), decoder))) {
            reader.read(log, file.getFileName().toString().replaceFirst("\\.[^.]*$", ""), lines::add);
        } catch (IOException e) {
            throw new CommandFailure(ExitCode.USAGE, "cannot read " + file + ": " + e.getMessage());
        }
    }
}
