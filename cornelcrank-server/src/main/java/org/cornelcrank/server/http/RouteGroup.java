package org.cornelcrank.server.http;

/**
 * A group of HTTP routes for one part of the interface.
 */
interface RouteGroup {

    /** Adds the group's routes. */
    void addTo(GuardedRoutes routes);
}
