package org.cornelcrank.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.cornelcrank.cli.console.Console;

/** Entry point of the command line program for operators and callers. Stateless, thus thread-safe. */
public final class CornelcrankCli {

    private CornelcrankCli() {}

    /** Runs the command given by the arguments and exits the process with its exit code. */
    public static void main(String[] arguments) {
        PrintStream out = new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(new FileOutputStream(FileDescriptor.err), true, StandardCharsets.UTF_8);
        Console console = new Console(out, err, System.console() != null);
        int exitCode = new CommandLineProgram(commands(), System.getenv(), console).run(arguments);
        out.flush();
        System.exit(exitCode);
    }

    static List<Command> commands() {
        List<Command> commands = new ArrayList<>();
        commands.addAll(ConfigCommands.all());
        commands.addAll(JobCommands.all());
        commands.add(new DumpCommand());
        commands.add(new ExplainCommand());
        commands.add(new TraceCommand());
        commands.addAll(QuarantineCommands.all());
        commands.add(new KeyCommand());
        commands.add(new DemoCommand());
        commands.add(new LoadCommand());
        commands.addAll(StandInCommands.all());
        return commands;
    }
}
