package org.knapweedcleat.core.config;

/**
 * A configuration error and its location.
 *
 * @param kind the kind of error
 * @param file the file name
 * @param line the line number, starting at 1, or 0 for the whole file
 * @param section the section header without brackets, or empty if there is none
 * @param key the key, or empty for the whole section
 * @param found the text found, or empty if something is missing
 * @param allowed a description of the allowed texts
 */
public record ConfigFault(
    ConfigFaultKind kind,
    String file,
    int line,
    String section,
    String key,
    String found,
    String allowed) {

  /** Replaces a text that may contain a secret. */
  static final String REDACTED = "(not shown)";

  private static final int MAX_SHOWN_CHARS = 80;

  /** Truncates long texts and replaces control characters, so that a fault fits one log line. */
  public ConfigFault {
    section = printable(section);
    key = printable(key);
    found = printable(found);
  }

  /**
   * Formats the fault for operators.
   *
   * @return {@code file:line: [section] key: found "x"; allowed: ...}
   */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(file).append(':').append(line).append(": ");
    if (!section.isEmpty()) {
      text.append('[').append(section).append("] ");
    }
    if (!key.isEmpty()) {
      text.append(key).append(": ");
    }
    return text.append(describeFound()).append("; allowed: ").append(allowed).toString();
  }

  private String describeFound() {
    if (found.isEmpty()) {
      return "found nothing (" + kind.displayName() + ")";
    }
    String quoted = found.equals(REDACTED) ? found : "\"" + found + "\"";
    return "found " + quoted + " (" + kind.displayName() + ")";
  }

  private static String printable(String text) {
    String line = text.replaceAll("\\p{Cntrl}", "?");
    return line.length() <= MAX_SHOWN_CHARS ? line : line.substring(0, MAX_SHOWN_CHARS) + "...";
  }
}
