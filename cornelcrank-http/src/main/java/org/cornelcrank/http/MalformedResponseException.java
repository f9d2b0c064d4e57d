package org.cornelcrank.http;

import io.netty.handler.codec.DecoderException;

/** Ends an exchange whose response is not valid HTTP/1.1; the request may have been processed. */
public final class MalformedResponseException extends DecoderException {

    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }
}
