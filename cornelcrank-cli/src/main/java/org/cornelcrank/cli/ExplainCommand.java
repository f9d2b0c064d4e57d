package org.cornelcrank.cli;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;

/** Shows the recorded decisions about a request, job, target or other subject. Stateless, thus thread-safe. */
final class ExplainCommand implements Command {

    private static final List<String> KINDS =
            List.of("request", "job", "item", "call", "target", "partition", "setting", "host");

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "show what happened to a " + String.join(", ", KINDS) + ", and why";
    }

    @Override
    public String arguments() {
        return "KIND ID";
    }

    @Override
    public List<String> examples() {
        return List.of("explain request entry-1/m8x2k0/4f", "explain target runner-3 --json");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String kind = Invocation.requireAllowed("KIND", invocation.argument(0, "KIND"), KINDS);
        String id = DaemonClient.encode(invocation.argument(1, "ID"));
        JsonNode explanation = invocation
                .daemon()
                .get("/admin/explain?kind=" + kind + "&id=" + id)
                .json();
        invocation.show(explanation);
        return ExitCode.OK;
    }
}
