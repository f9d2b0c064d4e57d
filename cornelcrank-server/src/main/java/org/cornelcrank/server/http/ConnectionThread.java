package org.cornelcrank.server.http;

import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoop;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Gives access to the thread that reads the requests of a connection.
 *
 * <p>Every response must be written on that thread: one that is written on another may end while the connection's own
 * thread already reads the next request, which then gets no response. Stateless, thus thread-safe.
 */
final class ConnectionThread {

    private ConnectionThread() {}

    /** Returns a scheduler that runs tasks on the thread of the response's connection. */
    static Scheduler of(HttpServerResponse response) {
        AtomicReference<EventLoop> thread = new AtomicReference<>();
        response.withConnection(connection -> thread.set(connection.channel().eventLoop()));
        return Schedulers.fromExecutor(thread.get());
    }
}
