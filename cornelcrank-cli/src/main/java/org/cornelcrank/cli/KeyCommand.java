package org.cornelcrank.cli;

import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.ApiKey;
import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.console.JsonTables;

/** Creates an API key without calling a daemon. Stateless, thus thread-safe. */
final class KeyCommand implements Command {

    private static final List<String> SCOPES = List.of("caller", "operator");
    private static final long MS_PER_DAY = 86_400_000;
    private static final long MAX_DAYS = 3_650;

    @Override
    public String name() {
        return "key create";
    }

    @Override
    public String summary() {
        return "create an API key and the setting that allows it; the secret is shown once and stored nowhere";
    }

    @Override
    public String arguments() {
        return "TEAM-PATH KEY-ID";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.valued("scope", "SCOPE", "caller or operator; default caller"))
                .addOption(CommandOptions.valued("days", "N", "days until it expires; default never"));
    }

    @Override
    public List<String> examples() {
        return List.of(
                "key create /nilavu/kiosk kiosk-2026", "key create /nilavu head-office --scope operator --days 90");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String team = invocation.argument(0, "TEAM-PATH");
        String keyId = invocation.argument(1, "KEY-ID");
        if (!keyId.matches("[A-Za-z0-9_-]{1,64}")) {
            throw new CommandFailure(
                    ExitCode.USAGE, "KEY-ID must consist of 1 to 64 letters, digits, - or _ but was '" + keyId + "'");
        }
        long days = invocation.number("days", 0, 1, MAX_DAYS);
        long expiresAtMs = days == 0 ? 0 : System.currentTimeMillis() + days * MS_PER_DAY;
        String scope = invocation.choice("scope", "caller", SCOPES);
        ApiKey key = ApiKey.create(keyId, scope, expiresAtMs, new SecureRandom());
        show(invocation, key.settingPath(team), key);
        return ExitCode.OK;
    }

    private static void show(Invocation invocation, String path, ApiKey key) {
        if (invocation.json()) {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("key", key.bearer());
            fields.put("path", path);
            fields.put("value", key.settingValue());
            JsonTables.printJson(DaemonClient.JSON.valueToTree(fields), invocation.console());
            return;
        }
        invocation.console().line("key:     " + key.bearer());
        invocation.console().line("setting: cornelcrank config set " + path + " " + key.settingValue());
    }
}
