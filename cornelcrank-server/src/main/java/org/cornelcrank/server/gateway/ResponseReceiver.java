package org.cornelcrank.server.gateway;

import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.gateway.http.TargetResponseHead;

/**
 * Holds the request of one attempt and takes what the target answers.
 *
 * <p>Not thread-safe: confined to the event loop.
 */
interface ResponseReceiver {

    RequestHead head();

    byte[] body();

    /** Returns the event after which the attempt goes on, empty for a request that starts. */
    OptionalLong resumeAfter();

    /** Returns how long the target may stay silent, in ms; zero where it may until the time is over. */
    long silencePatienceMs();

    /** Returns whether a target that is silent too long but still there is waited for, as nobody else may run the request. */
    boolean waitsForTarget();

    /** Returns whether the request may be run again, but only so often, so that it matters whether its target is gone. */
    boolean runsAreLimited();

    /** Takes a whole answer of success. */
    void whole(TargetResponseHead head, byte[] body);

    /**
     * Takes the next bytes of an answer in events; returns how many whole events came new.
     *
     * @throws IllegalStateException if an event is missing or too long
     */
    int events(TargetResponseHead head, byte[] bytes);

    /**
     * Takes the end of an answer in events.
     *
     * @throws IllegalStateException if it ends in the middle of an event
     */
    void eventsEnded(TargetResponseHead head);

    /** Takes a target's own failure. */
    void failed(TargetResponseHead head, byte[] body);

    /** Returns whether a caller has got any part of the answer. */
    boolean reachedCaller();

    /** Returns what the core gets of the answer itself; empty where a caller gets it. */
    ByteString collected();
}
