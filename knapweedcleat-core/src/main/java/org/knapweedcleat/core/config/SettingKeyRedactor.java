package org.knapweedcleat.core.config;

import io.vavr.collection.List;

/**
 * Redacts unknown setting keys in faults.
 *
 * <p>An API key may have been pasted in the wrong place: alone on a line, before an equals sign, or
 * below a header with a missing bracket. The value of an unknown key is therefore never shown, and
 * its name only if it is unlikely to be a secret.
 */
final class SettingKeyRedactor {

  private SettingKeyRedactor() {}

  /** Returns the name of an unknown key in a section, redacted if it may be a secret. */
  static String redact(SectionKind section, String name, String value, List<String> known) {
    boolean mayBeSecret = section == SectionKind.KEY || value.isEmpty();
    String word = redactUnlessSimilar(name, known);
    return mayBeSecret || !word.equals(ConfigFault.REDACTED) ? word : name;
  }

  /** Returns the name if it is similar to a known key, otherwise a placeholder. */
  static String redactUnlessSimilar(String name, List<String> known) {
    String firstWord = firstWord(name);
    if (known.contains(firstWord)) {
      return firstWord;
    }
    return NameSuggester.nearest(name, known).isDefined() ? name : ConfigFault.REDACTED;
  }

  /** Returns a suggestion for operators that ends in a space, or an empty text. */
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
