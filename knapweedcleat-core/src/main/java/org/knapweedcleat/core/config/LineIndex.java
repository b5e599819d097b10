package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** Knows on which line of an INI text each section and key stands, which the library does not. */
final class LineIndex {

  private static final Pattern SPACE = Pattern.compile("\\s+");

  private final Map<Location, Integer> lines = new HashMap<>();
  private final java.util.List<Location> repeated = new ArrayList<>();
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

  /** Returns a header with single spaces, so that two writings of one section are the same. */
  static String normalizeHeader(String header) {
    return SPACE.matcher(header.trim()).replaceAll(" ");
  }

  int lineOf(String section) {
    return lines.getOrDefault(new Location(section, "", 0), 0);
  }

  int lineOf(String section, String key) {
    return lines.getOrDefault(new Location(section, key, 0), lineOf(section));
  }

  List<Location> duplicates() {
    return List.ofAll(repeated);
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
      // A line that is no key is a fault of its own, however often it occurs.
      lines.putIfAbsent(new Location(header, line, 0), number);
      return;
    }
    put(line.substring(0, separator).trim(), number);
  }

  private void put(String key, int number) {
    if (lines.putIfAbsent(new Location(header, key, 0), number) != null) {
      repeated.add(new Location(header, key, number));
    }
  }

  /**
   * A section or a key in a section.
   *
   * @param section the header
   * @param key the key, empty for the section itself
   * @param line the line of a repetition, otherwise 0
   */
  record Location(String section, String key, int line) {}
}
