package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import com.google.protobuf.ByteString;

/** A partition state for tests: maps the text of each record to the position of the first record with that text. */
final class Ledger implements PartitionState {

    private static final int ENTRIES_PER_PAYLOAD = 3;

    private final TreeMap<String, RecordPosition> entries = new TreeMap<>();
    private int applied;

    @Override
    public void apply(DurableRecord record, RecordPosition position, long writtenAtMs) {
        applied++;
        entries.putIfAbsent(textOf(record.payload()), position);
    }

    @Override
    public List<ByteString> checkpoint() {
        List<ByteString> payloads = new ArrayList<>();
        payloads.add(ByteString.copyFromUtf8(Integer.toString(applied)));
        StringBuilder page = new StringBuilder();
        int count = 0;
        for (var entry : entries.entrySet()) {
            page.append(entry.getKey()).append('@').append(entry.getValue().offset());
            page.append('.').append(entry.getValue().index()).append('\n');
            if (++count % ENTRIES_PER_PAYLOAD == 0) {
                payloads.add(ByteString.copyFromUtf8(page.toString()));
                page.setLength(0);
            }
        }
        payloads.add(ByteString.copyFromUtf8(page.toString()));
        return payloads;
    }

    @Override
    public void restore(List<ByteString> payloads) {
        entries.clear();
        applied = payloads.isEmpty() ? 0 : Integer.parseInt(payloads.get(0).toStringUtf8());
        for (ByteString page : payloads.subList(Math.min(1, payloads.size()), payloads.size())) {
            for (String line : page.toStringUtf8().split("\n")) {
                if (!line.isEmpty()) {
                    restoreLine(line);
                }
            }
        }
    }

    @Override
    public List<RecordPosition> neededBefore(long offset, int limit) {
        return entries.values().stream()
                .filter(position -> position.offset() < offset)
                .sorted()
                .limit(limit)
                .toList();
    }

    @Override
    public void moved(RecordPosition from, RecordPosition to) {
        entries.replaceAll((text, position) -> position.equals(from) ? to : position);
    }

    /** Returns the texts that were applied, with their positions. */
    TreeMap<String, RecordPosition> entries() {
        return entries;
    }

    int applied() {
        return applied;
    }

    /** Returns the text of a payload, without the padding that may follow it after '#'. */
    static String textOf(ByteString payload) {
        String text = payload.toStringUtf8();
        int padding = text.indexOf('#');
        return padding < 0 ? text : text.substring(0, padding);
    }

    private void restoreLine(String line) {
        int at = line.lastIndexOf('@');
        int dot = line.lastIndexOf('.');
        RecordPosition position = new RecordPosition(
                Long.parseLong(line.substring(at + 1, dot)), Integer.parseInt(line.substring(dot + 1)));
        entries.put(line.substring(0, at), position);
    }
}
