package org.cornelcrank.server.http;

/** A group of HTTP routes for one part of the API. */
interface RouteGroup {

    void addTo(GuardedRoutes routes);
}
