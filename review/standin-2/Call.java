package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** One call of a client, on a connection of its own; status 0 if there was no whole answer. */
public record Call(int status, byte[] body) {

    public static Call send(
            InetSocketAddress to, String method, String path, String host, String headers, byte[] body, int timeoutMs) {
        long untilMs = System.nanoTime() / 1_000_000 + timeoutMs;
        try (Socket socket = new Socket()) {
            socket.connect(to, 1_000);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n" + headers
                    + (body.length > 0 ? "Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n" : "")
                    + "\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
            request.writeBytes(body);
            socket.getOutputStream().write(request.toByteArray());
            socket.getOutputStream().flush();
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[65536];
            while (true) {
                long leftMs = untilMs - System.nanoTime() / 1_000_000;
                if (leftMs <= 0) {
                    return new Call(0, new byte[0]);
                }
                socket.setSoTimeout((int) leftMs);
                int count = in.read(buffer);
                if (count < 0) {
                    break;
                }
                answer.write(buffer, 0, count);
            }
            return parse(answer.toByteArray());
        } catch (IOException e) {
            return new Call(0, new byte[0]);
        }
    }

    private static Call parse(byte[] answer) {
        String text = new String(answer, StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        if (end < 0 || !text.startsWith("HTTP/1.1 ")) {
            return new Call(0, new byte[0]);
        }
        int length = -1;
        for (String line : text.substring(0, end).split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).strip());
            }
        }
        byte[] body = Arrays.copyOfRange(answer, end + 4, answer.length);
        if (length >= 0 && body.length != length) {
            return new Call(0, new byte[0]);
        }
        return new Call(Integer.parseInt(text.substring(9, 12)), body);
    }

    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
