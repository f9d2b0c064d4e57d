package org.cornelcrank.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;

/**
 * The commands that read, change and watch settings.
 *
 * <p>Stateless, thus thread-safe.
 */
final class ConfigCommands {

    private static final String VALUE_PATH = "/admin/config/value?path=";
    private static final String EXPECT_VERSION = "expect-version";

    private ConfigCommands() {}

    static List<Command> all() {
        return List.of(new Get(), new Set(), new Delete(), new ListAll(), new Watch());
    }

    private static Options expectVersionOption() {
        return new Options()
                .addOption(CommandOptions.valued(
                        EXPECT_VERSION,
                        "N",
                        "change the setting only if it has this version; 0 means it was never set"));
    }

    /** Shows one setting. */
    private static final class Get implements Command {
        @Override
        public String name() {
            return "config get";
        }

        @Override
        public String summary() {
            return "show one setting with its version";
        }

        @Override
        public String arguments() {
            return "PATH";
        }

        @Override
        public List<String> examples() {
            return List.of("config get /nilavu/kiosk/urgency");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            String path = invocation.argument(0, "PATH");
            invocation.show(invocation
                    .daemon()
                    .get(VALUE_PATH + DaemonClient.encode(path))
                    .json());
            return ExitCode.OK;
        }
    }

    /** Sets one setting. */
    private static final class Set implements Command {
        @Override
        public String name() {
            return "config set";
        }

        @Override
        public String summary() {
            return "set one setting; returns once it is in the log and in effect";
        }

        @Override
        public String arguments() {
            return "PATH VALUE";
        }

        @Override
        public Options options() {
            return expectVersionOption();
        }

        @Override
        public List<String> examples() {
            return List.of(
                    "config set /nilavu/kiosk/urgency immediate",
                    "config set /nilavu/kiosk/deadline-ms 3000 --expect-version 17");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("value", invocation.argument(1, "VALUE"));
            if (invocation.has(EXPECT_VERSION)) {
                body.put("expectVersion", invocation.number(EXPECT_VERSION, 0, 0, Long.MAX_VALUE));
            }
            String path = DaemonClient.encode(invocation.argument(0, "PATH"));
            invocation.show(invocation.daemon().put(VALUE_PATH + path, body).json());
            return ExitCode.OK;
        }
    }

    /** Deletes one setting. */
    private static final class Delete implements Command {
        @Override
        public String name() {
            return "config delete";
        }

        @Override
        public String summary() {
            return "delete one setting, so that the value of its parent path applies again";
        }

        @Override
        public String arguments() {
            return "PATH";
        }

        @Override
        public Options options() {
            return expectVersionOption();
        }

        @Override
        public List<String> examples() {
            return List.of("config delete /nilavu/kiosk/deadline-ms --expect-version 18");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            String path = VALUE_PATH + DaemonClient.encode(invocation.argument(0, "PATH"));
            if (invocation.has(EXPECT_VERSION)) {
                path += "&expect-version=" + invocation.number(EXPECT_VERSION, 0, 0, Long.MAX_VALUE);
            }
            invocation.show(invocation.daemon().delete(path).json());
            return ExitCode.OK;
        }
    }

    /** Lists the settings below a path. */
    private static final class ListAll implements Command {
        @Override
        public String name() {
            return "config list";
        }

        @Override
        public String summary() {
            return "list the settings at a path and below it";
        }

        @Override
        public String arguments() {
            return "[PREFIX]";
        }

        @Override
        public List<String> examples() {
            return List.of("config list", "config list /nilavu --json");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            String prefix = DaemonClient.encode(invocation.argumentOr(0, "/"));
            invocation.show(
                    invocation.daemon().get("/admin/config?prefix=" + prefix).json());
            return ExitCode.OK;
        }
    }

    /** Prints changes of settings as they happen, with long polling. */
    private static final class Watch implements Command {

        private static final long POLL_WAIT_MS = 30_000;

        @Override
        public String name() {
            return "config watch";
        }

        @Override
        public String summary() {
            return "follow changes at a path and below it, until interrupted";
        }

        @Override
        public String arguments() {
            return "[PREFIX]";
        }

        @Override
        public Options options() {
            return new Options()
                    .addOption(CommandOptions.valued(
                            "from", "VERSION", "show changes after this version; default is the current version"))
                    .addOption(CommandOptions.valued("count", "N", "exit after this number of changes"));
        }

        @Override
        public List<String> examples() {
            return List.of("config watch /nilavu", "config watch / --from 0 --count 1 --json");
        }

        @Override
        public ExitCode run(Invocation invocation) {
            DaemonClient daemon = invocation.daemon();
            String prefix = DaemonClient.encode(invocation.argumentOr(0, "/"));
            long count = invocation.number("count", Long.MAX_VALUE, 1, Long.MAX_VALUE);
            long from = invocation.has("from")
                    ? invocation.number("from", 0, 0, Long.MAX_VALUE)
                    : daemon.get("/admin/config?prefix=" + prefix)
                            .json()
                            .path("version")
                            .asLong();
            long shown = 0;
            while (shown < count) {
                JsonNode changes = daemon.get(
                                "/admin/config/watch?prefix=" + prefix + "&from=" + from + "&wait-ms=" + POLL_WAIT_MS)
                        .json();
                from = Math.max(from, changes.path("version").asLong());
                JsonNode entries = changes.path("entries");
                shown += entries.size();
                if (!entries.isEmpty()) {
                    invocation.show(entries);
                }
            }
            return ExitCode.OK;
        }
    }
}
