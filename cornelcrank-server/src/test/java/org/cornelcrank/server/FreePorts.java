package org.cornelcrank.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds ports for listeners, below those that the system gives to outgoing connections, so that no connection takes a
 * port before its listener does.
 *
 * <p>Invariant: no port is returned twice until all have been tried. Thread-safe.
 */
public final class FreePorts {

    private static final int FIRST = 10_000;
    private static final int COUNT = 22_000;
    private static final AtomicInteger TRIED =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(COUNT));

    private FreePorts() {}

    /** Returns a port of the loopback interface to which no socket is bound. */
    public static int next() throws IOException {
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + Math.floorMod(TRIED.getAndIncrement(), COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("expected a free port from " + FIRST + " on, but all " + COUNT + " are in use");
    }

    /** Returns whether no socket is bound to the port, also none that does not listen. */
    public static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(false);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns that many different ports of the loopback interface. */
    public static int[] next(int count) throws IOException {
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ports[i] = next();
        }
        return ports;
    }
}
