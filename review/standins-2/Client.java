import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A session of a sound client: one request at a time, each answered before the next. */
final class Client implements AutoCloseable {
    private final Harness harness;
    private final String name;
    private final Socket socket = new Socket();
    private BufferedReader lines;

    /** An answer: the completing line and the state, or why there is none. */
    record Answer(boolean complete, String text, String state) {
        boolean success() {
            return complete && text.startsWith("COMPLETE");
        }
    }

    Client(Harness harness, String name) {
        this.harness = harness;
        this.name = name;
    }

    /** Connects and waits for READY, 2 s at most; returns whether it came. */
    boolean connect(String address, String database) {
        try {
            String[] parts = address.split(":");
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 2_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(2_000);
            lines = new BufferedReader(new InputStreamReader(
                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            write("CONNECT " + database + " u3f1\r\n");
            String line = lines.readLine();
            return line != null && line.startsWith("READY I");
        } catch (IOException e) {
            return false;
        }
    }

    private void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Sends a statement and reads its answer. */
    Answer query(String id, String text, int timeoutMillis) {
        harness.note("client " + name + " sends " + id + " " + text);
        Answer answer = exchange(id, text, timeoutMillis);
        harness.note("client " + name + " gets for " + id + " "
                + (answer.complete() ? answer.text() + " " + answer.state()
                        : "no complete answer: " + answer.text()));
        return answer;
    }

    private Answer exchange(String id, String text, int timeoutMillis) {
        String completion = "";
        try {
            socket.setSoTimeout(timeoutMillis);
            write("QUERY " + id + " " + text + "\r\n");
            while (true) {
                String line = lines.readLine();
                if (line == null) {
                    return new Answer(false, "the connection has ended", "");
                }
                if (line.startsWith("COMPLETE") || line.startsWith("ERROR")) {
                    completion = line;
                } else if (line.startsWith("READY")) {
                    return new Answer(true, completion, line.split(" ")[1]);
                }
            }
        } catch (SocketTimeoutException e) {
            return new Answer(false, "nothing within " + timeoutMillis + " ms", "");
        } catch (SocketException e) {
            return new Answer(false, "the connection has ended: " + e.getMessage(), "");
        } catch (IOException e) {
            return new Answer(false, e.toString(), "");
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
