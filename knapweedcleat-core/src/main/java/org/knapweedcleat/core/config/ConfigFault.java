package org.knapweedcleat.core.config;

/**
 * One fault in settings, with its place.
 *
 * @param kind what is wrong
 * @param file the file's name
 * @param line the line, counted from 1; 0 for the file as a whole
 * @param section the section's header without brackets, empty for none
 * @param key the key, empty for the section as a whole
 * @param found what stands there, empty for nothing
 * @param allowed what may stand there
 */
public record ConfigFault(
    ConfigFaultKind kind,
    String file,
    int line,
    String section,
    String key,
    String found,
    String allowed) {

  /** Stands for a value that may be secret. */
  static final String REDACTED = "(not shown)";

  private static final int MAX_SHOWN = 80;

  /** Shortens what was found and keeps the fault to one line. */
  public ConfigFault {
    section = printable(section);
    key = printable(key);
    found = printable(found);
  }

  /**
   * Returns the fault for operators.
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
    String shown = found.equals(REDACTED) ? found : "\"" + found + "\"";
    return "found " + shown + " (" + kind.displayName() + ")";
  }

  private static String printable(String text) {
    String line = text.replaceAll("\\p{Cntrl}", "?");
    return line.length() <= MAX_SHOWN ? line : line.substring(0, MAX_SHOWN) + "...";
  }
}
