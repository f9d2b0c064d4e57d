package org.cornelcrank.cli;

import java.util.List;

import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.console.JsonTables;

/** Shows a state dump of a daemon. Stateless, thus thread-safe. */
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
                .addOption(CommandOptions.valued(
                        "host", "HOST", "host whose daemon is dumped; default the daemon at the URL"))
                .addOption(CommandOptions.valued("section", "NAME", "show only this section, for example membership"));
    }

    @Override
    public List<String> examples() {
        return List.of("dump", "dump --section membership", "dump --host entry-3 --json");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        StringBuilder path = new StringBuilder("/admin/dump?format=").append(invocation.json() ? "json" : "text");
        for (String option : List.of("section", "host")) {
            if (invocation.has(option)) {
                path.append('&').append(option).append('=').append(DaemonClient.encode(invocation.option(option, "")));
            }
        }
        DaemonClient.Response response = invocation.daemon().get(path.toString());
        if (invocation.json()) {
            JsonTables.printJson(response.json(), invocation.console());
        } else {
            invocation.console().line(response.text().stripTrailing());
        }
        return ExitCode.OK;
    }
}
