import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** A client's session. */
final class Client implements AutoCloseable {
    record Answer(List<String> rows, String end, String ready) {
        boolean ok() {
            return end.startsWith("COMPLETE");
        }

        @Override
        public String toString() {
            return (rows.isEmpty() ? "" : "ROW " + rows + " ") + end + " / " + ready;
        }
    }

    private final Socket socket = new Socket();
    private final Group.LineReader lines;
    private final Record record;
    final String name;
    private int ids;

    Client(String name, InetSocketAddress to, String database, Record record) throws IOException {
        this.name = name;
        this.record = record;
        socket.connect(to, 2000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(5000);
        lines = new Group.LineReader(socket.getInputStream());
        send("CONNECT " + database + " " + name);
        String greeting = lines.next();
        if (greeting == null || !greeting.startsWith("READY")) {
            socket.close();
            throw new IOException("no greeting: " + greeting);
        }
    }

    private void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    String nextId() {
        return name + "-" + ++ids;
    }

    /** Runs a statement under an id of its own. */
    Answer ask(String text) throws IOException {
        return ask(nextId(), text);
    }

    Answer ask(String id, String text) throws IOException {
        record.line("client " + name + " sends    QUERY " + id + " " + abbreviate(text));
        send("QUERY " + id + " " + text);
        List<String> rows = new ArrayList<>();
        String end = "";
        while (true) {
            String line = lines.next();
            if (line == null) {
                record.line("client " + name + " is cut off");
                throw new IOException("closed");
            }
            if (line.startsWith("ROW")) {
                rows.add(line.length() > 4 ? line.substring(4) : "");
            } else if (line.startsWith("READY")) {
                Answer answer = new Answer(rows, end, line);
                record.line("client " + name + " receives " + abbreviate(answer.toString()));
                return answer;
            } else {
                end = line;
            }
        }
    }

    /** Returns a message that came while no request was outstanding, or null. */
    String stray(int millis) throws IOException {
        socket.setSoTimeout(millis);
        try {
            String line = lines.next();
            if (line != null) {
                record.line("client " + name + " receives with no request outstanding: " + line);
            }
            return line;
        } catch (SocketTimeoutException e) {
            return null;
        } finally {
            socket.setSoTimeout(5000);
        }
    }

    static String abbreviate(String text) {
        return text.length() <= 300 ? text : text.substring(0, 300) + "... (" + text.length() + ")";
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
