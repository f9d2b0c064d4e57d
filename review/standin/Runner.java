import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for a runner, after PROTOCOL.md, "Runners": it reads requests and lets a handler answer each. */
final class Runner {

    final String id;
    private final ServerSocket listener;
    private final Handler handler;

    Runner(String id, String ip, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        this.listener = new ServerSocket(0, 50, InetAddress.getByName(ip));
        Thread thread = new Thread(this::accept);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Returns this runner's entry in the store. */
    String entry(String service, String zone, int slots) {
        return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
                        + "\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                        + "\"sequence\":1}")
                .formatted(service, address(), zone, slots);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Request request = Request.read(in);
                if (request == null || !answer(request, socket.getOutputStream())) {
                    return;
                }
            }
        } catch (IOException e) {
            // The caller has closed the connection: the run is dropped.
        }
    }

    private boolean answer(Request request, OutputStream out) throws IOException {
        if (request.path.equals("/health")) {
            write(out, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        String expected = request.headers.get("target-instance");
        if (expected != null && !expected.equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        return handler.answer(this, request, out);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        write(out, Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
    }

    /** Answers a request that this runner runs; returns whether the connection is kept. */
    interface Handler {
        boolean answer(Runner runner, Request request, OutputStream out) throws IOException;
    }

    /** A request; header names are in lower case. */
    record Request(String method, String path, Map<String, String> headers, byte[] body) {

        String requestId() {
            return headers.get("request-id");
        }

        int lastEventId() {
            return Integer.parseInt(headers.getOrDefault("last-event-id", "0"));
        }

        static Request read(InputStream in) throws IOException {
            String line = line(in);
            if (line == null) {
                return null;
            }
            String[] words = line.split(" ");
            Map<String, String> headers = new TreeMap<>();
            for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                int colon = header.indexOf(':');
                headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
            }
            byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            return new Request(words[0], words[1], headers, body);
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return null;
                }
                line.write(next);
            }
            return line.toString(StandardCharsets.UTF_8).strip();
        }
    }
}
