package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.Subject;

/**
 * Finds out which version of the targets' software began a stream that its caller takes up: by a record, here or at
 * another daemon, or else by a read of the directory that begins after that.
 *
 * <p>Invariant: the listener is notified exactly once of each route that is resolved, unless its resolution is ended.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class StreamResolver {

    /** How long other daemons have to state the version that began a stream, in ms: several round trips between regions. */
    private static final long STREAM_VERSION_TIMEOUT_MS = 250;

    private final RoutingContext context;
    private final StreamVersions streams;
    private final DueQueue<RequestId> wakeups;
    private final Listener listener;
    private final Map<Long, List<Route>> resolving = new HashMap<>();

    /**
     * Creates a resolver without routes.
     *
     * @param wakeups the times at which {@link #decide} is to be called for a route
     */
    StreamResolver(RoutingContext context, StreamVersions streams, DueQueue<RequestId> wakeups, Listener listener) {
        this.context = context;
        this.streams = streams;
        this.wakeups = wakeups;
        this.listener = listener;
    }

    /** Finds the version that began a stream which its caller takes up, since only its targets can continue it. */
    void resolve(Route route, long nowMs, Effects out) {
        context.count("streams-taken-up");
        long key = route.request.options().stream().orElseThrow().key();
        route.phase = Route.Phase.RESOLVING;
        ServiceName service = route.request.service();
        Optional<SoftwareVersion> version = streams.recorded(key);
        Set<HostId> asked = version.isPresent() ? Set.of() : streams.holders(key);
        long untilMs = Math.min(route.request.deadlineAtMs(), nowMs + STREAM_VERSION_TIMEOUT_MS);
        route.inquiry = new VersionInquiry(asked, nowMs, untilMs);
        resolving.computeIfAbsent(key, unused -> new ArrayList<>()).add(route);
        wakeups.put(route.request.id(), untilMs, out);
        if (version.isPresent()) {
            route.inquiry.recorded(version.get(), "recorded here");
            continueAtRecorded(route, nowMs, out);
            return;
        }
        if (!streams.services().mixed(service, nowMs)) {
            requestRead(route, out);
        }
        if (streams.services().withinReach(nowMs)) {
            streams.ask(key, service, route.inquiry.asked(), false, out);
            decide(route, nowMs, out);
        } else {
            askForConfirmation(route, nowMs, out);
        }
    }

    private static void requestRead(Route route, Effects out) {
        route.inquiry.readRequested();
        out.add(new Effect.Raise(new Event.HostListConfirmationRequested()));
    }

    /** Continues a stream at its recorded version; reads the directory first if that version is not listed yet. */
    private void continueAtRecorded(Route route, long nowMs, Effects out) {
        VersionInquiry inquiry = route.inquiry;
        SoftwareVersion version = inquiry.recorded().orElseThrow();
        boolean listed = context.directory().lists(route.request.service(), version);
        boolean readEnded = streams.services().confirmationEnded(inquiry.sinceMs());
        if (listed || readEnded || nowMs >= inquiry.untilMs()) {
            end(route);
            continueAt(route, version, inquiry.recordedWhere(), nowMs, out);
        } else if (!inquiry.isReadRequested()) {
            requestRead(route, out);
        }
    }

    /** Asks other daemons to read the directory, as this daemon's own read proves nothing. */
    private void askForConfirmation(Route route, long nowMs, Effects out) {
        long untilMs = Math.min(route.request.deadlineAtMs(), nowMs + STREAM_VERSION_TIMEOUT_MS);
        route.inquiry.askedForConfirmation(untilMs);
        wakeups.put(route.request.id(), untilMs, out);
        long key = route.request.options().stream().orElseThrow().key();
        streams.ask(key, route.request.service(), route.inquiry.asked(), true, out);
    }

    void replied(HostId from, RoutingMessage.StreamVersionReply reply, long nowMs, Effects out) {
        for (Route route : List.copyOf(resolving.getOrDefault(reply.key(), List.of()))) {
            route.inquiry.replied(from, reply);
            if (reply.version().isPresent()) {
                route.inquiry.recorded(reply.version().get(), "recorded by " + from);
                continueAtRecorded(route, nowMs, out);
            } else {
                decide(route, nowMs, out);
            }
        }
    }

    /** Decides on the streams whose version may be known now, as the directory or the recorded versions were read. */
    void versionsChanged(long nowMs, Effects out) {
        List<Route> waiting = resolving.values().stream().flatMap(List::stream).toList();
        waiting.forEach(route -> decide(route, nowMs, out));
    }

    /** Decides on a stream if it can be decided now; called when a time that it waits for is over. */
    void decide(Route route, long nowMs, Effects out) {
        if (route.phase != Route.Phase.RESOLVING) {
            return;
        }
        VersionInquiry inquiry = route.inquiry;
        if (inquiry.recorded().isPresent()) {
            continueAtRecorded(route, nowMs, out);
            return;
        }
        ServiceName service = route.request.service();
        boolean timedOut = nowMs >= inquiry.untilMs();
        Optional<SoftwareVersion> version = streams.proven(service, inquiry, nowMs);
        boolean readEnded = streams.services().confirmationEnded(inquiry.sinceMs());
        boolean provable = streams.provable(service, inquiry, nowMs);
        if (version.isPresent()) {
            if (timedOut || inquiry.mostReplied()) {
                conclude(route, version, nowMs, out);
            }
        } else if (provable && mayAsk(route, nowMs) && (timedOut || readEnded)) {
            askForConfirmation(route, nowMs, out);
        } else if (timedOut || inquiry.complete() && (readEnded || !provable)) {
            conclude(route, version, nowMs, out);
        }
    }

    private static boolean mayAsk(Route route, long nowMs) {
        return !route.inquiry.confirmationAsked()
                && !route.inquiry.asked().isEmpty()
                && nowMs < route.request.deadlineAtMs();
    }

    private void conclude(Route route, Optional<SoftwareVersion> version, long nowMs, Effects out) {
        end(route);
        ServiceName service = route.request.service();
        String known = streams.describe(service, route.inquiry, nowMs);
        if (version.isPresent()) {
            context.count("streams-of-inferred-version");
            continueAt(route, version.get(), "no record; the only version of " + service + "; " + known, nowMs, out);
            return;
        }
        context.count("streams-of-unknown-version");
        out.explain(Subject.Kind.REQUEST, route.request.id(), nowMs, "version of the stream unknown", known);
        listener.unresolved(route, "the version of " + service + " that began the stream is unknown", nowMs, out);
    }

    /** Ends the resolution of a stream; nothing more happens to it. */
    void end(Route route) {
        long key = route.request.options().stream().orElseThrow().key();
        List<Route> others = resolving.get(key);
        if (others != null && others.remove(route) && others.isEmpty()) {
            resolving.remove(key);
        }
        wakeups.remove(route.request.id());
    }

    private void continueAt(Route route, SoftwareVersion version, String reason, long nowMs, Effects out) {
        out.explain(Subject.Kind.REQUEST, route.request.id(), nowMs, "stream continues at version " + version, reason);
        route.version = Optional.of(version);
        listener.resolved(route, nowMs, out);
    }

    /** Receives the results. */
    interface Listener {

        /** The route's version is known; only its targets can continue the stream. */
        void resolved(Route route, long nowMs, Effects out);

        /** Nobody can know the version. */
        void unresolved(Route route, String reason, long nowMs, Effects out);
    }
}
