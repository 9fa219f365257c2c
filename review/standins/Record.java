import java.io.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;

/** The file record.txt of a case: what was sent, answered and run. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.ISO_8859_1));
    }

    synchronized void line(String text) {
        String shown = text.replace("\r", "\\r").replace("\n", "\\n");
        out.printf("%8.3f s  %s%n", (System.nanoTime() - start) / 1e9, shown);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
