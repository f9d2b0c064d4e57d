package org.cornelcrank.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Calls a stand-in over HTTP. Thread-safe. */
final class StandInClient {

    private final HttpClient client = HttpClient.newHttpClient();
    private final String url;

    StandInClient(StandIn standIn) {
        this.url = standIn.url();
    }

    HttpResponse<String> send(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    JsonNode json(String method, String path, String body, String... headers) throws IOException, InterruptedException {
        return new ObjectMapper().readTree(send(method, path, body, headers).body());
    }
}
