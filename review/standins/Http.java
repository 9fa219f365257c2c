import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** A call over HTTP/1.1, on a connection of its own. */
final class Http {
    record Answer(int status, String body) {}

    private Http() {}

    static Answer call(
            InetSocketAddress to, InetAddress from, String method, String path,
            Map<String, String> headers, String body, int millis) {
        try (Socket socket = new Socket()) {
            if (from != null) {
                socket.bind(new InetSocketAddress(from, 0));
            }
            socket.connect(to, millis);
            socket.setSoTimeout(millis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder();
            head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: x\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            head.append("Content-Type: application/json\r\nConnection: close\r\nContent-Length: ")
                    .append(bytes.length).append("\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.flush();
            String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return new Answer(0, "");
            }
            return new Answer(
                    Integer.parseInt(text.split(" ")[1]), text.substring(headEnd + 4));
        } catch (IOException | NumberFormatException e) {
            return new Answer(0, "");
        }
    }
}
