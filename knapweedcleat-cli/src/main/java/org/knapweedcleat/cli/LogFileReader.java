package org.knapweedcleat.cli;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the log of an instance; malformed lines are reported and skipped. */
final class LogFileReader {

  private static final String STANDARD_INPUT = "-";

  private LogFileReader() {}

  static List<LogLine> read(String name, Console console) throws CliException {
    try (BufferedReader reader = open(name)) {
      return lines(name, reader, console);
    } catch (IOException e) {
      throw CliException.of(CliFault.FILE, name, e);
    }
  }

  private static BufferedReader open(String name) throws IOException {
    if (!name.equals(STANDARD_INPUT)) {
      return Files.newBufferedReader(Path.of(name), StandardCharsets.UTF_8);
    }
    Reader input = new InputStreamReader(System.in, StandardCharsets.UTF_8);
    return new BufferedReader(input);
  }

  private static List<LogLine> lines(String name, BufferedReader reader, Console console)
      throws IOException {
    List<LogLine> lines = new ArrayList<>();
    int number = 0;
    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
      number++;
      int start = text.indexOf('{');
      if (start < 0) {
        continue;
      }
      try {
        String before = text.substring(0, start).trim();
        String source = before.isEmpty() ? name : before.substring(before.lastIndexOf(' ') + 1);
        lines.add(LogLine.of(source, new JsonObject(text.substring(start))));
      } catch (DecodeException | ClassCastException e) {
        console.error(name + ":" + number + ": not a log line; skipped");
      }
    }
    return lines;
  }
}
