package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** Maps the sections and keys of an INI text to line numbers, which the INI library discards. */
final class LineIndex {

  private static final Pattern WHITESPACE = Pattern.compile("\\s+");

  private final Map<Location, Integer> lines = new HashMap<>();
  private final java.util.List<Location> duplicates = new ArrayList<>();
  private String header = "";

  private LineIndex() {}

  static LineIndex of(String text) {
    LineIndex index = new LineIndex();
    int number = 0;
    for (String line : text.lines().toList()) {
      number++;
      index.add(line.trim(), number);
    }
    return index;
  }

  /** Collapses white space in a header, so that different spellings of it are equal. */
  static String normalizeHeader(String header) {
    return WHITESPACE.matcher(header.trim()).replaceAll(" ");
  }

  int lineOf(String section) {
    return lines.getOrDefault(new Location(section, "", 0), 0);
  }

  int lineOf(String section, String key) {
    return lines.getOrDefault(new Location(section, key, 0), lineOf(section));
  }

  List<Location> duplicates() {
    return List.ofAll(duplicates);
  }

  private void add(String line, int number) {
    if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
      return;
    }
    if (line.startsWith("[") && line.endsWith("]")) {
      header = normalizeHeader(line.substring(1, line.length() - 1));
      put("", number);
      return;
    }
    int separator = line.indexOf('=');
    if (separator < 0) {
      // A line without a separator is reported as an unknown key, not as a duplicate.
      lines.putIfAbsent(new Location(header, line, 0), number);
      return;
    }
    put(line.substring(0, separator).trim(), number);
  }

  private void put(String key, int number) {
    if (lines.putIfAbsent(new Location(header, key, 0), number) != null) {
      duplicates.add(new Location(header, key, number));
    }
  }

  /**
   * The location of a section, or of a key within a section.
   *
   * @param section the section header
   * @param key the key, or empty for the section itself
   * @param line the line number of a duplicate, otherwise 0
   */
  record Location(String section, String key, int line) {}
}
