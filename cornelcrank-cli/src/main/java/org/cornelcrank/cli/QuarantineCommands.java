package org.cornelcrank.cli;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;

/**
 * The commands that list and lift the quarantine of requests that crashed their targets.
 *
 * <p>Stateless, thus thread-safe.
 */
final class QuarantineCommands {

    private static final String PATH = "/admin/quarantine";

    private QuarantineCommands() {}

    static List<Command> all() {
        return List.of(new ListAll(), new Lift());
    }

    /** Lists the quarantined requests. */
    private static final class ListAll implements Command {
        @Override
        public String name() {
            return "quarantine list";
        }

        @Override
        public String summary() {
            return "list requests that crashed their targets, by fingerprint";
        }

        @Override
        public List<String> examples() {
            return List.of("quarantine list", "quarantine list --json");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            JsonNode response = invocation.daemon().get(PATH).json();
            invocation.show(response);
            return ExitCode.OK;
        }
    }

    /** Lifts the quarantine of a request, so that it may run again. */
    private static final class Lift implements Command {
        @Override
        public String name() {
            return "quarantine lift";
        }

        @Override
        public String summary() {
            return "allow requests with this fingerprint to run again";
        }

        @Override
        public String arguments() {
            return "FINGERPRINT";
        }

        @Override
        public List<String> examples() {
            return List.of("quarantine lift 9c0f31d2a7b84e55");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            String fingerprint = invocation.argument(0, "FINGERPRINT");
            invocation.daemon().delete(PATH + "?fingerprint=" + DaemonClient.encode(fingerprint));
            invocation.console().line("lifted " + fingerprint);
            return ExitCode.OK;
        }
    }
}
