package org.cornelcrank.cli.client;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Writes the same bytes in response to the head of each request, and closes the connection.
 *
 * <p>Thread-safe.
 */
public final class RawServer implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    private final ExecutorService thread = Executors.newSingleThreadExecutor();

    public RawServer(String response) throws IOException {
        thread.execute(() -> serve(response.getBytes(StandardCharsets.ISO_8859_1)));
    }

    public String url() {
        return "http://127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(byte[] response) {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                String line = in.readLine();
                while (line != null && !line.isEmpty()) {
                    line = in.readLine();
                }
                socket.getOutputStream().write(response);
            } catch (IOException e) {
                // The client or the test has closed its socket.
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        thread.shutdownNow();
    }
}
