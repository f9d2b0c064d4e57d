package org.cornelcrank.server.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A caller's connection that shows every byte which it gets, and what there is when a response breaks off.
 *
 * <p>Not thread-safe.
 */
final class CallerConnection implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int READ_TIMEOUT_MS = 15_000;
    private static final int NO_CONTENT = 204;
    private static final int HEX = 16;

    private final Socket socket = new Socket();
    private final InputStream in;
    private boolean usable = true;

    /**
     * A response.
     *
     * @param status 0 if the connection ended before a whole head
     * @param complete whether the body ended as its framing says
     * @param fault bytes that are no response, empty if there are none
     */
    record Reply(int status, Map<String, String> headers, String body, boolean complete, String fault) {}

    CallerConnection(int port) throws IOException {
        this(port, READ_TIMEOUT_MS);
    }

    CallerConnection(int port, int readTimeoutMs) throws IOException {
        try {
            socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(readTimeoutMs);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Returns whether a further request may be sent. */
    boolean usable() {
        return usable;
    }

    /** Sends a request and reads its response; the head ends in an empty line. */
    Reply exchange(String head, String body) {
        return exchange(head, body, Integer.MAX_VALUE);
    }

    /** Sends a request and reads its response, but stops reading after so many events in chunks. */
    Reply exchange(String head, String body, int wantedEvents) {
        Map<String, String> headers = new HashMap<>();
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        int status = 0;
        boolean complete = false;
        String fault = "";
        try {
            if (in.available() > 0) {
                fault = "bytes with no request waiting";
            }
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            status = readHead(headers);
            complete = readBody(headers, status, content, wantedEvents);
        } catch (NoResponseException e) {
            fault = e.getMessage();
        } catch (IOException e) {
            // The connection has ended.
        }
        usable = complete && fault.isEmpty() && !"close".equalsIgnoreCase(headers.get("connection")) && framed(headers);
        return new Reply(status, headers, content.toString(StandardCharsets.ISO_8859_1), complete, fault);
    }

    private static boolean framed(Map<String, String> headers) {
        return headers.containsKey("content-length") || headers.containsKey("transfer-encoding");
    }

    private int readHead(Map<String, String> headers) throws IOException {
        String line = readLine();
        if (!line.matches("HTTP/1\\.1 [2-5]\\d\\d.*")) {
            throw new NoResponseException("no status line: " + line);
        }
        for (String header = readLine(); !header.isEmpty(); header = readLine()) {
            int colon = header.indexOf(':');
            if (colon <= 0) {
                throw new NoResponseException("no header: " + header);
            }
            String name = header.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, header.substring(colon + 1).strip());
        }
        return Integer.parseInt(line.substring(9, 12));
    }

    private boolean readBody(Map<String, String> headers, int status, ByteArrayOutputStream content, int wantedEvents)
            throws IOException {
        if (status == NO_CONTENT) {
            return true;
        }
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            int size = chunkSize();
            while (size > 0) {
                if (wantedEvents < Integer.MAX_VALUE && events(content) >= wantedEvents) {
                    return false;
                }
                readBytes(size, content);
                if (!readLine().isEmpty()) {
                    throw new NoResponseException("a chunk is longer than its size");
                }
                size = chunkSize();
            }
            while (!readLine().isEmpty()) {
                // Trailers carry nothing here.
            }
        } else {
            String length = headers.get("content-length");
            readBytes(length == null ? Integer.MAX_VALUE : Integer.parseInt(length), content);
        }
        return true;
    }

    private static int events(ByteArrayOutputStream content) {
        return content.toString(StandardCharsets.ISO_8859_1).split("\n\n", -1).length - 1;
    }

    private int chunkSize() throws IOException {
        String line = readLine();
        try {
            return Integer.parseInt(line.split(";")[0].strip(), HEX);
        } catch (NumberFormatException e) {
            throw new NoResponseException("no chunk: " + line);
        }
    }

    /** Reads so many bytes, or up to the end of the connection if there is no limit. */
    private void readBytes(int count, ByteArrayOutputStream content) throws IOException {
        for (int i = 0; i < count; i++) {
            int next = in.read();
            if (next < 0) {
                if (count == Integer.MAX_VALUE) {
                    return;
                }
                throw new IOException("the connection has ended");
            }
            content.write(next);
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection has ended");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Bytes that are no response in the protocol. */
    private static final class NoResponseException extends IOException {

        private static final long serialVersionUID = 1;

        NoResponseException(String message) {
            super(message);
        }
    }
}
