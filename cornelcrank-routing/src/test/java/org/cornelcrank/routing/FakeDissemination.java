package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;

/** Gives facts to the local listener at once, and hands them to the test for the other daemons. */
final class FakeDissemination implements Dissemination {

    private final Map<String, FactListener> listeners = new TreeMap<>();
    private final Map<String, Long> versions = new TreeMap<>();
    private final List<Fact> published = new ArrayList<>();

    @Override
    public void publish(Fact fact, long nowMs, Effects out) {
        published.add(fact);
        receive(fact, nowMs, out);
    }

    /** Takes in a fact that is newer than what is known of its key. */
    void receive(Fact fact, long nowMs, Effects out) {
        Long known = versions.get(fact.slice() + ":" + fact.key());
        if (known != null && known >= fact.version()) {
            return;
        }
        versions.put(fact.slice() + ":" + fact.key(), fact.version());
        FactListener listener = listeners.get(fact.slice());
        if (listener != null) {
            listener.factReceived(fact, nowMs, out);
        }
    }

    @Override
    public void subscribe(String slice, FactListener listener) {
        listeners.put(slice, listener);
    }

    /** Returns what was published since the last call. */
    List<Fact> takePublished() {
        List<Fact> taken = List.copyOf(published);
        published.clear();
        return taken;
    }
}
