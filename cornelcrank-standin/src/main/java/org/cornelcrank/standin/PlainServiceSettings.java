package org.cornelcrank.standin;

import java.util.Objects;

/**
 * Settings of the stand-in for a plain service.
 *
 * <p>Each call runs for {@code serviceTimeMs}; {@code slots} is the capacity that the service reports; with
 * {@code reportsLoad} it supports {@code GET /load}. Immutable, thus thread-safe.
 */
public record PlainServiceSettings(
        String host, int port, String service, int slots, long serviceTimeMs, boolean reportsLoad, long restartMs) {

    public PlainServiceSettings {
        Objects.requireNonNull(host, "host must not be null");
        Objects.requireNonNull(service, "service must not be null");
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1 but was " + slots);
        }
        if (serviceTimeMs < 0) {
            throw new IllegalArgumentException("serviceTimeMs must not be negative but was " + serviceTimeMs);
        }
    }

    /** Returns a service with 16 slots and 5 ms per call on any free port of the loopback address. */
    public static PlainServiceSettings defaults(String service) {
        return new PlainServiceSettings("127.0.0.1", 0, service, 16, 5, true, 1_000);
    }

    public PlainServiceSettings withPort(int newPort) {
        return new PlainServiceSettings(host, newPort, service, slots, serviceTimeMs, reportsLoad, restartMs);
    }

    public PlainServiceSettings withServiceTimeMs(long newServiceTimeMs) {
        return new PlainServiceSettings(host, port, service, slots, newServiceTimeMs, reportsLoad, restartMs);
    }

    public PlainServiceSettings withRestartMs(long newRestartMs) {
        return new PlainServiceSettings(host, port, service, slots, serviceTimeMs, reportsLoad, newRestartMs);
    }
}
