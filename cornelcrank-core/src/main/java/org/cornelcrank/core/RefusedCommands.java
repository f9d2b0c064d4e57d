package org.cornelcrank.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Remembers the forwarded commands that an owner has refused as not run, so that a delayed duplicate is not run later.
 *
 * <p>Invariant: a refusal is kept until the command's deadline. Not thread-safe: confined to the daemon's event loop.
 */
public final class RefusedCommands {

    private final Map<String, Refusal> refusals = new HashMap<>();
    private final SortedMap<Long, List<String>> keysByDeadline = new TreeMap<>();

    /** Records the reply if it is a refusal as not run. */
    public void remember(ForwardedCommand command, CallerReply reply, long nowMs) {
        removeExpired(nowMs);
        if (reply instanceof Refusal refusal && refusal.verdict() instanceof Verdict.NotRun) {
            String key = key(command);
            if (refusals.put(key, refusal) == null) {
                keysByDeadline
                        .computeIfAbsent(command.deadlineAtMs(), deadline -> new ArrayList<>())
                        .add(key);
            }
        }
    }

    /** Returns the earlier refusal of the command, empty if there is none. */
    public Optional<Refusal> find(ForwardedCommand command) {
        return Optional.ofNullable(refusals.get(key(command)));
    }

    public int size() {
        return refusals.size();
    }

    private void removeExpired(long nowMs) {
        while (!keysByDeadline.isEmpty() && keysByDeadline.firstKey() < nowMs) {
            keysByDeadline.remove(keysByDeadline.firstKey()).forEach(refusals::remove);
        }
    }

    private static String key(ForwardedCommand command) {
        return command.request() + "#" + command.leg();
    }
}
