package org.cornelcrank.standin;

import java.util.Objects;

/**
 * Settings of the stand-in for the weight store.
 *
 * <p>Every name exists and has {@code weightBytes} bytes; requests above {@code requestsPerSecond} are rejected.
 * Immutable, thus thread-safe.
 */
public record WeightStoreSettings(String host, int port, int weightBytes, double requestsPerSecond) {

    public WeightStoreSettings {
        Objects.requireNonNull(host, "host must not be null");
        if (weightBytes < 0) {
            throw new IllegalArgumentException("weightBytes must not be negative but was " + weightBytes);
        }
        if (!(requestsPerSecond > 0)) {
            throw new IllegalArgumentException("requestsPerSecond must be above zero but was " + requestsPerSecond);
        }
    }

    /** Returns weights of 64 KiB and two requests per second on any free port of the loopback address. */
    public static WeightStoreSettings defaults() {
        return new WeightStoreSettings("127.0.0.1", 0, 1 << 16, 2);
    }

    public WeightStoreSettings withPort(int newPort) {
        return new WeightStoreSettings(host, newPort, weightBytes, requestsPerSecond);
    }

    public WeightStoreSettings withRequestsPerSecond(double newRequestsPerSecond) {
        return new WeightStoreSettings(host, port, weightBytes, newRequestsPerSecond);
    }
}
