package org.cornelcrank.cli;

import java.util.List;

import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.console.JsonTables;

/** Shows a daemon's state. Stateless, thus thread-safe. */
final class DumpCommand implements Command {

    @Override
    public String name() {
        return "dump";
    }

    @Override
    public String summary() {
        return "show the whole state of a daemon, or one section of it";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.valued("host", "HOST", "the daemon of that name; default the one at the URL"))
                .addOption(CommandOptions.valued("section", "NAME", "only this section, as in membership"));
    }

    @Override
    public List<String> examples() {
        return List.of("dump", "dump --section membership", "dump --host entry-3 --json");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        StringBuilder call = new StringBuilder("/admin/dump?format=").append(invocation.json() ? "json" : "text");
        for (String option : List.of("section", "host")) {
            if (invocation.has(option)) {
                call.append('&').append(option).append('=').append(DaemonClient.encode(invocation.option(option, "")));
            }
        }
        DaemonClient.Response answer = invocation.daemon().get(call.toString());
        if (invocation.json()) {
            JsonTables.printJson(answer.json(), invocation.console());
        } else {
            invocation.console().line(answer.text().stripTrailing());
        }
        return ExitCode.OK;
    }
}
