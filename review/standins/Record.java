import java.io.*;
import java.nio.file.*;
import java.util.*;

/** Collects what was sent, answered and run, and writes it to the case's record.txt. */
final class Record {
  private final long startMillis = System.currentTimeMillis();
  private final List<String> lines = new ArrayList<>();

  private String result;

  synchronized void add(String line) {
    if (result != null) {
      return;
    }
    lines.add(String.format(Locale.ROOT, "%9.3f s  %s", (System.currentTimeMillis() - startMillis) / 1e3, line));
  }

  /** Adds the last line, which tells the result. */
  synchronized void end(String line) {
    add(line);
    result = line;
  }

  synchronized String result() {
    return String.valueOf(result);
  }

  synchronized void write(Path folder) throws IOException {
    Files.write(folder.resolve("record.txt"), lines);
  }
}
