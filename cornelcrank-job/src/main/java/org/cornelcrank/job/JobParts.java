package org.cornelcrank.job;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.job.wire.WireJobPart;

/**
 * The parts of one job that have been read from the store, by the keys of their records.
 *
 * <p>Invariant: only parts of the same form are joined. Those of earlier releases state no form; they are joined if they
 * agree on the number of parts, and cannot be decoded if they were written by daemons that encoded the job differently.
 * Not thread-safe.
 */
final class JobParts {

    private final Map<String, WireJobPart> parts = new TreeMap<>();
    private long receivedAtMs;

    void put(String key, WireJobPart part, long nowMs) {
        parts.put(key, part);
        receivedAtMs = nowMs;
    }

    /** Returns the time in ms at which a part was last received. */
    long receivedAtMs() {
        return receivedAtMs;
    }

    void drop(String key) {
        parts.remove(key);
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns the keys of all parts in their order. */
    List<String> keys() {
        return List.copyOf(parts.keySet());
    }

    /** Returns whether a form has all its parts, whether or not it can be decoded. */
    boolean complete() {
        return forms().values().stream().anyMatch(JobParts::complete);
    }

    /** Returns the job, empty unless a form is complete and can be decoded. */
    Optional<JobContent> content() {
        return forms().entrySet().stream()
                .filter(entry -> complete(entry.getValue()))
                .flatMap(entry -> join(entry.getKey(), entry.getValue()).stream())
                .findFirst();
    }

    private Map<Form, Map<Integer, WireJobPart>> forms() {
        Map<Form, Map<Integer, WireJobPart>> forms = new LinkedHashMap<>();
        parts.values().forEach(part -> forms.computeIfAbsent(
                        new Form(part.getFormHash(), part.getParts()), form -> new TreeMap<>())
                .put(part.getIndex(), part));
        return forms;
    }

    private static boolean complete(Map<Integer, WireJobPart> form) {
        return form.size() == form.values().iterator().next().getParts();
    }

    private static Optional<JobContent> join(Form form, Map<Integer, WireJobPart> ofForm) {
        List<ByteString> contents =
                ofForm.values().stream().map(WireJobPart::getContent).toList();
        boolean sound = form.hash() == 0 || form.hash() == JobRecords.formHash(contents);
        return sound ? JobRecords.content(ByteString.copyFrom(contents)) : Optional.empty();
    }

    /** What the parts of one form have in common; the hash is zero for those of earlier releases. */
    private record Form(long hash, int parts) {}
}
