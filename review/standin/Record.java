import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each event, with the milliseconds since the start. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(String file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(Path.of(file)), true);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", millis(), text);
    }

    synchronized void say(String text) {
        line(text);
        System.out.printf("%7d %s%n", millis(), text);
    }
}
