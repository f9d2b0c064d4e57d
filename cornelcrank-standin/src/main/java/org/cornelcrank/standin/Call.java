package org.cornelcrank.standin;

import java.nio.charset.StandardCharsets;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * One request to a stand-in, received whole.
 *
 * <p>The body must not be changed.
 */
record Call(String method, String uri, HttpHeaders headers, byte[] body) {

    String path() {
        return new QueryStringDecoder(uri).path();
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    boolean is(String wantedMethod, String wantedPath) {
        return method.equals(wantedMethod) && path().equals(wantedPath);
    }

    /**
     * Returns a numeric query parameter, or the default where it is missing.
     *
     * @throws NumberFormatException if the parameter is not a whole number
     */
    long longParameter(String name, long defaultValue) {
        var values = new QueryStringDecoder(uri).parameters().get(name);
        return values == null ? defaultValue : Long.parseLong(values.get(0));
    }
}
