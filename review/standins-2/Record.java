import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the script. */
final class Record {

  private final long start = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void add(String text) {
    out.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(), text));
  }

  /** Also prints the line. */
  synchronized void result(String text) {
    System.out.println(text);
    out.println(text);
    out.flush();
  }

  synchronized void close() {
    out.close();
  }
}
