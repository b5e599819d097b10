package org.knapweedcleat.core.config;

import io.vavr.collection.List;

/**
 * Decides how a fault names a key that is not known.
 *
 * <p>Somebody may have pasted a secret key where it does not belong: alone on a line, before an
 * equals sign, or below a header that lost its bracket. So the value is never shown, and the name
 * only where it can hardly be a secret.
 */
final class SettingKeyRedactor {

  private SettingKeyRedactor() {}

  /** Returns the name of a key in a section. */
  static String redact(SectionKind section, String name, String value, List<String> known) {
    boolean mayBeSecret = section == SectionKind.KEY || value.isEmpty();
    String word = redactUnlessSimilar(name, known);
    return mayBeSecret || !word.equals(ConfigFault.REDACTED) ? word : name;
  }

  /** Returns the name of a key if it is like a known one. */
  static String redactUnlessSimilar(String name, List<String> known) {
    String firstWord = firstWord(name);
    if (known.contains(firstWord)) {
      return firstWord;
    }
    return NameSuggester.nearest(name, known).isDefined() ? name : ConfigFault.REDACTED;
  }

  /** Returns a question for operators that ends in a space, or nothing. */
  static String hint(String name, List<String> known) {
    String firstWord = firstWord(name);
    return !firstWord.equals(name) && known.contains(firstWord)
        ? "write " + firstWord + " = value; "
        : NameSuggester.hint(name, known);
  }

  private static String firstWord(String name) {
    return name.split("[:\\s]", 2)[0];
  }
}
