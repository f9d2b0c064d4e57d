package org.cornelcrank.standin;

import java.nio.charset.StandardCharsets;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * A completely received request to a stand-in.
 *
 * <p>The body must not be modified.
 */
record StandInRequest(String method, String uri, HttpHeaders headers, byte[] body) {

    String path() {
        return new QueryStringDecoder(uri).path();
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    boolean matches(String expectedMethod, String expectedPath) {
        return method.equals(expectedMethod) && path().equals(expectedPath);
    }

    /**
     * Returns a numeric query parameter, or the default if it is missing.
     *
     * @throws NumberFormatException if the parameter is not a whole number
     */
    long longParameter(String name, long defaultValue) {
        var values = new QueryStringDecoder(uri).parameters().get(name);
        return values == null ? defaultValue : Long.parseLong(values.get(0));
    }
}
