package org.cornelcrank.server.http;

import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cornelcrank.config.SettingChangedReply;
import org.cornelcrank.config.SettingEntry;
import org.cornelcrank.config.SettingList;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.daemon.DumpJson;
import org.cornelcrank.daemon.DumpText;
import org.cornelcrank.daemon.Explanation;
import org.cornelcrank.daemon.StateDump;
import org.cornelcrank.routing.QuarantineListed;

/**
 * Renders replies to operators as JSON or text.
 *
 * <p>Thread-safe.
 */
final class AdminViews {

    private final ObjectMapper json;

    AdminViews(ObjectMapper json) {
        this.json = json;
    }

    ResponseWriter.Rendered settings(CallerReply reply) {
        SettingList list = (SettingList) reply;
        ObjectNode root = json.createObjectNode().put("version", list.version());
        ArrayNode entries = root.putArray("entries");
        list.entries().forEach(entry -> entries.add(entry(entry)));
        return ResponseWriter.Rendered.json(root);
    }

    ResponseWriter.Rendered setting(CallerReply reply) {
        return ResponseWriter.Rendered.json(
                entry(((SettingList) reply).entries().get(0)));
    }

    ResponseWriter.Rendered change(CallerReply reply) {
        SettingChangedReply change = (SettingChangedReply) reply;
        return ResponseWriter.Rendered.json(entry(new SettingEntry(change.path(), change.value(), change.version())));
    }

    ResponseWriter.Rendered dump(CallerReply reply, boolean asJson) {
        StateDump dump = (StateDump) reply;
        return asJson
                ? ResponseWriter.Rendered.json(DumpJson.render(dump, json))
                : ResponseWriter.Rendered.text("text/plain; charset=utf-8", DumpText.render(dump));
    }

    ResponseWriter.Rendered explanation(CallerReply reply) {
        Explanation explanation = (Explanation) reply;
        ObjectNode root = json.createObjectNode();
        root.put("kind", explanation.subject().kind().name().toLowerCase(Locale.ROOT));
        root.put("id", explanation.subject().id());
        root.put("known", !explanation.lines().isEmpty());
        ArrayNode lines = root.putArray("decisions");
        explanation.lines().forEach(line -> lines.addObject()
                .put("atMs", line.atMs())
                .put("host", line.host().value())
                .put("decision", line.decision())
                .put("reason", line.reason()));
        ArrayNode silentHosts = root.putArray("silentHosts");
        explanation.unresponsiveHosts().forEach(host -> silentHosts.add(host.value()));
        return ResponseWriter.Rendered.json(root);
    }

    ResponseWriter.Rendered quarantine(CallerReply reply) {
        ObjectNode root = json.createObjectNode();
        QuarantineListed listed = (QuarantineListed) reply;
        quarantined(listed.entries(), root.putArray("entries"));
        quarantined(listed.promptParts(), root.putArray("promptParts"));
        return ResponseWriter.Rendered.json(root);
    }

    private static void quarantined(List<QuarantineListed.Entry> entries, ArrayNode array) {
        for (QuarantineListed.Entry entry : entries) {
            ObjectNode node = array.addObject()
                    .put("fingerprint", Long.toHexString(entry.fingerprint()))
                    .put("sinceMs", entry.sinceMs())
                    .put("expiresAtMs", entry.expiresAtMs());
            ArrayNode targets = node.putArray("targets");
            entry.targets().forEach(target -> targets.add(target.value()));
        }
    }

    private ObjectNode entry(SettingEntry entry) {
        ObjectNode node = json.createObjectNode().put("path", entry.path());
        node.put("value", entry.value().orElse(null));
        return node.put("version", entry.version());
    }
}
