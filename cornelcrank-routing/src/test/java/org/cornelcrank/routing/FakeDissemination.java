package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;

/** Delivers facts to the local listener at once, and collects them for the test to deliver to the other daemons. */
final class FakeDissemination implements Dissemination {

    private final Map<String, FactListener> listeners = new TreeMap<>();
    private final Map<String, Long> versions = new TreeMap<>();
    private final List<Fact> published = new ArrayList<>();

    @Override
    public void publish(Fact fact, long nowMs, Effects out) {
        published.add(fact);
        receive(fact, nowMs, out);
    }

    /** Delivers a fact unless it is older than the last one with its key. */
    void receive(Fact fact, long nowMs, Effects out) {
        Long version = versions.get(fact.slice() + ":" + fact.key());
        if (version != null && version >= fact.version()) {
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

    /** Returns the facts published since the last call. */
    List<Fact> takePublished() {
        List<Fact> taken = List.copyOf(published);
        published.clear();
        return taken;
    }
}
